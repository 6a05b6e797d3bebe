import {
  isStreamed,
  hashToUint32,
  weighRunnerCrash,
} from '@bayspool/decisions/calls';
import type {Quarantine} from '@bayspool/decisions/calls';
import type {EventLog} from '../observability/event_log.js';
import type {Runner} from '../runners/runner.js';
import type {RunnerReachability} from '../runners/runner_reachability.js';
import {getIncarnationId} from '../runners/get_incarnation_id.js';
import type {Attempt} from './attempt.js';
import {OutcomeKind} from './outcome_kind.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {IncomingCall} from './incoming_call.js';
import {roundToHundredths} from '../observability/round_to_hundredths.js';

interface Options {
  readonly log: EventLog;
  readonly quarantine: Quarantine;
  readonly reachability: RunnerReachability;
}

/** Counts runner crashes against the request that was running, to detect requests that crash the runners. */
export class CrashAttribution {
  constructor(private readonly options: Options) {}

  /**
   * Records the outcome for the fingerprint of the request. The count has to outlive the call and
   * can't go by the request id, because callers resend such a request with a new id, to any host.
   */
  recordOutcome(
    call: IncomingCall,
    runner: Runner,
    attempt: Attempt,
    outcome: AttemptOutcome,
  ): void {
    const {quarantine} = this.options;
    if (outcome.kind === OutcomeKind.ANSWERED)
      quarantine.recordAnswer(call.fingerprint);
    else if (outcome.isTruncated) this.recordCrash(call, runner, attempt);
  }

  private recordCrash(
    call: IncomingCall,
    runner: Runner,
    attempt: Attempt,
  ): void {
    const {log, quarantine, reachability} = this.options;
    const {fingerprint, id: request, route} = call;
    const {hasHead, sinceHeadMs, firstOutputAt, isAlone} = attempt;
    const weight = weighRunnerCrash({
      isStreamed: isStreamed(route.kind),
      hasHead,
      sinceHeadMs,
      isAlone,
      hasBodyBytes: firstOutputAt !== undefined,
    });
    if (weight === 0) return;
    reachability.whenConfirmed(runner, () => {
      const incarnationId = getIncarnationId(runner.entry);
      quarantine.recordCrashes(fingerprint, [
        {start: hashToUint32(incarnationId), weight},
      ]);
      log.write('runner_end_counted', {
        request,
        fingerprint,
        runner: runner.entry.id,
        weight,
        sum: roundToHundredths(quarantine.weightOf(fingerprint)),
        isAlone,
        sinceHeadMs: Math.round(sinceHeadMs),
      });
    });
  }
}
