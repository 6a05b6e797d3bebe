import type {LogLine} from '../explain/log_line.js';
import {CallOutcome} from './call_outcome.js';
import type {CallRecord} from './call_record.js';
import {findMainDelay} from './find_main_delay.js';
import {RelayedRequests} from './relayed_requests.js';

/** The events that end a request, and the outcome that each means. */
const OUTCOMES: Readonly<Record<string, CallOutcome>> = {
  request_answered: CallOutcome.IN_TIME,
  request_refused: CallOutcome.REFUSED,
  request_failed: CallOutcome.FAILED,
  request_cut: CallOutcome.CUT,
  caller_left: CallOutcome.LEFT,
};
/** Statuses for a request that is itself invalid. */
const CLIENT_ERROR_STATUSES: ReadonlySet<unknown> = new Set([
  400, 401, 403, 404, 413, 431,
]);
const UNKNOWN = '?';
const MS_PER_SECOND = 1_000;

/** Makes a record of each finished request; invalid requests are left out, as they are not losses. */
export function readCalls(lines: Iterable<LogLine>): CallRecord[] {
  const places = new Map<string, string>();
  const relayed = new RelayedRequests();
  const linesByRequest = new Map<string, LogLine[]>();
  const calls: CallRecord[] = [];
  for (const line of lines) {
    if (line.event === 'process_started')
      places.set(line.host, String(line.place));
    if (line.request === undefined) continue;
    const requestLines = linesByRequest.get(line.request) ?? [];
    requestLines.push(line);
    relayed.read(line);
    linesByRequest.set(line.request, requestLines);
    if (!(line.event in OUTCOMES)) continue;
    // The host that relayed the call writes how it ended for the caller.
    if (relayed.has(line)) continue;
    linesByRequest.delete(line.request);
    if (!CLIENT_ERROR_STATUSES.has(line.status))
      calls.push(
        toRecord(requestLines, line, places.get(line.host) ?? UNKNOWN),
      );
  }
  return calls;
}

function toRecord(
  lines: readonly LogLine[],
  last: LogLine,
  place: string,
): CallRecord {
  const [first] = lines;
  const end = toOutcome(first, last);
  const dropped = lines.filter(line => line.outcome === 'weak');
  return {
    place,
    end,
    request: String(last.request),
    route: String(first.route ?? UNKNOWN),
    second: Math.floor(Date.parse(first.time) / MS_PER_SECOND),
    reason: toReason(lines, last, end),
    droppedAnswers: dropped.length,
    droppedMs: dropped.reduce(
      (sum, line) => sum + findPrefillMs(lines, line),
      0,
    ),
  };
}

function toOutcome(first: LogLine, last: LogLine): CallOutcome {
  const end = OUTCOMES[last.event];
  if (end !== CallOutcome.IN_TIME) return end;
  const isLate = Number(last.firstMs) > Number(first.targetMs);
  return isLate ? CallOutcome.LATE : CallOutcome.IN_TIME;
}

function toReason(
  lines: readonly LogLine[],
  last: LogLine,
  end: CallOutcome,
): string {
  if (end === CallOutcome.IN_TIME) return '';
  if (end === CallOutcome.LATE) return findMainDelay(lines);
  return String(last.reason ?? UNKNOWN);
}

/** Expected engine time for the prefill of an attempt, in ms. */
function findPrefillMs(lines: readonly LogLine[], ended: LogLine): number {
  const chosen = lines.find(
    ({event, attempt}) =>
      event === 'runner_chosen' && attempt === ended.attempt,
  );
  return Number(chosen?.workMs ?? 0);
}
