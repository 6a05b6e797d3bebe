import {CallOutcome} from './call_outcome.js';
import type {CallRecord} from './call_record.js';
import type {LossRow} from './loss_row.js';
import type {LossSummary} from './loss_summary.js';

/** Counts the outcomes of requests by route, place, second and reason. */
export function summarizeLosses(calls: readonly CallRecord[]): LossSummary {
  const firstSecond = calls.reduce(
    (earliest, {second}) => Math.min(earliest, second),
    Infinity,
  );
  const lost = calls.filter(({end}) => end !== CallOutcome.IN_TIME);
  const reasons = groupCalls(lost, ({end, reason}) => `${end}: ${reason}`);
  return {
    byRoute: groupCalls(calls, ({route}) => route),
    byPlace: groupCalls(calls, ({place}) => place),
    bySecond: groupCalls(calls, ({second}) =>
      String(second - firstSecond),
    ).sort((a, b) => Number(a.name) - Number(b.name)),
    byReason: reasons.sort((a, b) => b.calls - a.calls),
    droppedAnswers: sum(calls, ({droppedAnswers}) => droppedAnswers),
    droppedMs: sum(calls, ({droppedMs}) => droppedMs),
  };
}

function groupCalls(
  calls: readonly CallRecord[],
  nameOf: (call: CallRecord) => string,
): LossRow[] {
  const groups = new Map<string, CallRecord[]>();
  for (const call of calls) {
    const name = nameOf(call);
    const members = groups.get(name);
    if (members) members.push(call);
    else groups.set(name, [call]);
  }
  return [...groups]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([name, members]) => toRow(name, members));
}

function toRow(name: string, calls: readonly CallRecord[]): LossRow {
  const count = (outcome: CallOutcome) =>
    calls.filter(({end}) => end === outcome).length;
  return {
    name,
    calls: calls.length,
    inTime: count(CallOutcome.IN_TIME),
    late: count(CallOutcome.LATE),
    refused: count(CallOutcome.REFUSED),
    failed: count(CallOutcome.FAILED),
    cut: count(CallOutcome.CUT),
    left: count(CallOutcome.LEFT),
  };
}

function sum(
  calls: readonly CallRecord[],
  valueOf: (call: CallRecord) => number,
): number {
  return calls.reduce((total, call) => total + valueOf(call), 0);
}
