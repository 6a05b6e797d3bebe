import {
  fingerprintPromptParts,
  isStreamed,
  hashToUint32,
  weighRunnerCrash,
} from '@bayspool/decisions/calls';
import type {PartQuarantine, Quarantine} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {Runner} from '../runners/runner.js';
import type {RunnerReachability} from '../runners/runner_reachability.js';
import {CONNECTION_REFUSED} from '../runners/connection_refused.js';
import {getIncarnationId} from '../runners/get_incarnation_id.js';
import {RunnerEndEvidence} from '../runners/runner_end_evidence.js';
import {AbortReason} from './abort_reason.js';
import type {Attempt} from './attempt.js';
import {OutcomeKind} from './outcome_kind.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {CrashEvidence} from './crash_evidence.js';
import type {IncomingCall} from './incoming_call.js';
import type {RunnerEnd} from './runner_end.js';
import type {SilentRunnerMonitor} from './silent_runner_monitor.js';
import {roundToHundredths} from '../observability/round_to_hundredths.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly quarantine: Quarantine;
  readonly partQuarantine: PartQuarantine;
  readonly reachability: RunnerReachability;
  readonly silentRunners: SilentRunnerMonitor;
}

/** What is recorded of a call; its body is not kept with a run that stays unsettled. */
type AttributedCall = Pick<IncomingCall, 'id' | 'fingerprint' | 'route'>;

/** Time from the head of a response within which a part of its prompt may have crashed the runner, in ms. */
const JUST_BEGUN_MS = 500;
/** Most parts of a prompt in a log line. */
const MAX_LOGGED_PARTS = 8;

/** Counts runner crashes against the request that was running and the parts of its prompt, to detect what crashes the runners. */
export class CrashAttribution {
  /** Calls that have been answered: another run of them that ends at a runner that is gone says nothing. */
  private readonly answeredCalls = new WeakSet<IncomingCall>();
  /** Attempts whose runner was known to have ended while they waited. */
  private readonly settledAttempts = new WeakSet<Attempt>();

  constructor(private readonly options: Options) {}

  /** Watches the runner of an attempt until the returned function is called. */
  watch(call: IncomingCall, runner: Runner, attempt: Attempt): () => void {
    return this.options.silentRunners.watch(runner, {
      request: call.id,
      get isAdmitted() {
        return attempt.isAdmitted;
      },
      get lastSignAt() {
        return attempt.lastSignAt;
      },
      noteRunnerSilent: () => attempt.noteRunnerSilent(),
      end: reason => attempt.end(reason),
      onRunnerEnded: end => this.recordSilentEnd(call, runner, attempt, end),
    });
  }

  /** Notes that an attempt at a runner has been silent for too long. */
  noteSilence(runner: Runner): void {
    this.options.silentRunners.noteSilence(runner);
  }

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
    if (outcome.kind === OutcomeKind.ANSWERED) {
      this.recordAnswer(call);
    } else if (outcome.isTruncated) {
      const {hasHead, sinceHeadMs, firstOutputAt, isAlone} = attempt;
      const evidence = {
        knownBy: RunnerEndEvidence.BROKEN,
        knownAfterMs: 0,
        hasHead,
        hasBodyBytes: firstOutputAt !== undefined,
        sinceHeadMs,
        isAlone,
      };
      this.recordEvidence(call, runner, evidence, listParts(call));
    } else if (outcome.reason === CONNECTION_REFUSED) {
      this.options.silentRunners.noteRefused(runner);
    } else if (attempt.isAdmitted && attempt.wasEndedByHost) {
      this.keepUnsettled(call, runner, attempt, outcome);
    }
  }

  private recordAnswer(call: IncomingCall): void {
    const {quarantine, partQuarantine, silentRunners} = this.options;
    const {fingerprint} = call;
    quarantine.recordAnswer(fingerprint);
    this.answeredCalls.add(call);
    const {hasUnsettledRuns} = silentRunners;
    if (partQuarantine.isEmpty && !hasUnsettledRuns) return;
    const parts = listParts(call);
    partQuarantine.recordAnswer(parts);
    if (hasUnsettledRuns) silentRunners.recordAnswer(fingerprint, parts);
  }

  /** Keeps a run that this host ended: its runner may have ended before, without a sign. */
  private keepUnsettled(
    call: IncomingCall,
    runner: Runner,
    attempt: Attempt,
    {reason}: AttemptOutcome,
  ): void {
    if (reason === AbortReason.HOST_SHUTDOWN) return;
    if (attempt.wasUnread || this.answeredCalls.has(call)) return;
    if (this.settledAttempts.has(attempt)) return;
    const {id, fingerprint, route} = call;
    const {lastSignAt, requestSentAt = lastSignAt} = attempt;
    const evidence = toSilentEvidence(attempt);
    const attributed = {id, fingerprint, route};
    this.options.silentRunners.add(runner, {
      request: id,
      fingerprint,
      parts: listParts(call),
      sentAt: requestSentAt,
      lastSignAt,
      endedAt: this.options.clock.now(),
      onRunnerEnded: (end, parts) =>
        this.recordEvidence(
          attributed,
          runner,
          {...evidence, ...toKnowledge(end, evidence.isAlone)},
          parts,
        ),
    });
  }

  private recordSilentEnd(
    call: IncomingCall,
    runner: Runner,
    attempt: Attempt,
    end: RunnerEnd,
  ): void {
    if (this.answeredCalls.has(call)) return;
    this.settledAttempts.add(attempt);
    const evidence = toSilentEvidence(attempt);
    this.recordEvidence(
      call,
      runner,
      {...evidence, ...toKnowledge(end, evidence.isAlone)},
      listParts(call),
    );
  }

  private recordEvidence(
    call: AttributedCall,
    runner: Runner,
    evidence: CrashEvidence,
    parts: readonly string[],
  ): void {
    this.recordCrash(call, runner, evidence);
    this.recordPartCrash(call, runner, evidence, parts);
  }

  /** Counts a crash against the prompt's parts if the runner may just have begun a response on them. */
  private recordPartCrash(
    {id: request, route}: AttributedCall,
    runner: Runner,
    {hasHead, sinceHeadMs, knownBy}: CrashEvidence,
    parts: readonly string[],
  ): void {
    const {log, partQuarantine, reachability} = this.options;
    if (parts.length === 0) return;
    if (isStreamed(route.kind) && !hasHead) return;
    if (sinceHeadMs >= JUST_BEGUN_MS) return;
    reachability.whenConfirmed(runner, () => {
      const incarnationId = getIncarnationId(runner.entry);
      partQuarantine.recordCrash(parts, hashToUint32(incarnationId));
      log.write('part_end_counted', {
        request,
        runner: runner.entry.id,
        parts: parts.slice(0, MAX_LOGGED_PARTS).join(' '),
        ends: parts
          .slice(0, MAX_LOGGED_PARTS)
          .map(part => partQuarantine.countCrashes(part))
          .join(' '),
        sinceHeadMs: Math.round(sinceHeadMs),
        knownBy,
      });
    });
  }

  private recordCrash(
    {fingerprint, id: request, route}: AttributedCall,
    runner: Runner,
    evidence: CrashEvidence,
  ): void {
    const {log, quarantine, reachability} = this.options;
    const {isAlone, sinceHeadMs, knownBy, knownAfterMs, hasHead} = evidence;
    const weight = weighRunnerCrash({
      ...evidence,
      isStreamed: isStreamed(route.kind),
    });
    // Without a head it may have run or waited: its presence is recorded, which weighs nothing.
    if (weight === 0 && hasHead) return;
    const start = hashToUint32(getIncarnationId(runner.entry));
    quarantine.notePresence(fingerprint, start);
    reachability.whenConfirmed(runner, () => {
      quarantine.recordCrashes(fingerprint, [{start, weight}]);
      log.write('runner_end_counted', {
        request,
        fingerprint,
        runner: runner.entry.id,
        weight,
        sum: roundToHundredths(quarantine.weightOf(fingerprint)),
        isAlone,
        sinceHeadMs: Math.round(sinceHeadMs),
        knownBy,
        knownAfterMs: Math.round(knownAfterMs),
      });
    });
  }
}

/** Fingerprints of the shared parts of a call's prompt. */
function listParts({prompt, workspace}: IncomingCall): readonly string[] {
  return fingerprintPromptParts(prompt, workspace);
}

function toSilentEvidence(attempt: Attempt) {
  return {
    hasHead: attempt.hasHead,
    hasBodyBytes: attempt.firstOutputAt !== undefined,
    sinceHeadMs: attempt.headToLastSignMs,
    isAlone: attempt.wasAloneAtLastSign,
  };
}

/** If the runner lived on for a while after its last sign, other requests may have come to it meanwhile. */
function toKnowledge(
  {evidence, knownAfterMs, wasListening}: RunnerEnd,
  wasAlone: boolean,
) {
  return {
    knownBy: evidence,
    knownAfterMs,
    isAlone: wasAlone && !wasListening,
  };
}
