import {RolloutPhase} from '@bayspool/decisions/calls';
import type {SessionVersions} from '@bayspool/decisions/calls';
import type {WorkEstimator} from '@bayspool/decisions/capacity';
import type {RunnerDirectory} from '../discovery/runner_directory.js';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {Rollout} from '../rollouts/rollout.js';
import type {RolloutRegistry} from '../rollouts/rollout_registry.js';
import type {PrefillRates} from '../runners/prefill_rates.js';
import type {Runner} from '../runners/runner.js';
import type {RunnerReachability} from '../runners/runner_reachability.js';
import type {RunnerChoice} from '../runners/runner_choice.js';
import {OutcomeKind} from './outcome_kind.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {AttemptTiming} from './attempt_timing.js';
import type {CallProgress} from './call_progress.js';
import {RunEnd} from './run_end.js';
import {LatencyRecorder} from './latency_recorder.js';
import {estimateLatencyMs} from './estimate_latency_ms.js';
import {roundToHundredths} from '../observability/round_to_hundredths.js';

interface Options {
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly directory: RunnerDirectory;
  readonly rollouts: RolloutRegistry;
  readonly sessions: SessionVersions;
  readonly rates: PrefillRates;
  readonly work: WorkEstimator;
  readonly reachability: RunnerReachability;
}

/** Failure weight of a runner that sent nothing until the call ended: enough to eject it. */
const SILENT_WEIGHT = 2.5;
/** Failure weight of a connection that could not be opened: stronger evidence than a failed response. */
const UNREACHABLE_WEIGHT = 2;
/** Failure weight of a failed response: the unit of the other weights. */
const FAILURE_WEIGHT = 1;

/** Records attempts: health and latency of the runner, and rollout evidence on its version. */
export class AttemptRecorder {
  private readonly latencyRecorder: LatencyRecorder;

  constructor(private readonly options: Options) {
    this.latencyRecorder = new LatencyRecorder(options);
  }

  /**
   * Counts the start of an attempt during a rollout, and tracks it while it waits for a response.
   *
   * @returns a function to call when the attempt ends
   */
  recordStart(
    progress: CallProgress,
    choice: RunnerChoice,
    waitedMs: () => number | undefined,
  ): () => void {
    const rollout = this.findActiveRollout(progress.call.service);
    if (!rollout) return () => undefined;
    const {version} = choice.runner.entry;
    const isFresh = version === rollout.order.version;
    const cellName = evidenceCellOf(progress);
    const expectedMs = expectedByPromptMs(progress, estimateLatencyMs(choice));
    rollout.evidence.recordSent(isFresh);
    if (!isLatencyComparable(progress, rollout)) return () => undefined;
    return rollout.evidence.trackAttempt({
      cellName,
      isFresh,
      expectedMs,
      waitedMs,
    });
  }

  /** Updates health, latency and rollout evidence with the outcome of an attempt. */
  recordEnd(
    progress: CallProgress,
    choice: RunnerChoice,
    outcome: AttemptOutcome,
    timing: AttemptTiming,
  ): void {
    const {metrics} = this.options;
    const {call} = progress;
    const {runner} = choice;
    metrics.attempts.inc({service: call.service, outcome: outcome.kind});
    this.updateSession(call.session, runner.entry.version);
    // An error may be sent at once, whatever the speed of the runner.
    const isError = outcome.kind === OutcomeKind.RUNNER_ERROR;
    if (timing.latencyMs !== undefined && !isError)
      this.latencyRecorder.record(call, progress.model, choice, {
        latencyMs: timing.latencyMs,
        isUnloaded: timing.isUnloaded,
      });
    this.recordOutput(call, outcome, timing);
    this.recordHealth(runner, outcome, timing.wasSilent);
    const isGone = outcome.reason === RunEnd.RUNNER_GONE;
    if (isUnreachable(outcome) || outcome.isTruncated || isGone)
      runner.noteUnreachable();
    this.recordEvidence(progress, runner, outcome, timing);
  }

  /**
   * Refreshes the session's version at the end of a call. A long response of the old version does
   * not move a session back.
   */
  private updateSession(session: string | undefined, version: string): void {
    if (session === undefined) return;
    const {sessions} = this.options;
    const current = sessions.get(session);
    if (current === undefined || current === version)
      sessions.set(session, version);
  }

  /** Records the length of a whole stream; an event is taken for a token. */
  private recordOutput(
    {prompt, route}: CallProgress['call'],
    {kind}: AttemptOutcome,
    {eventCount = 0}: AttemptTiming,
  ): void {
    if (!prompt || kind !== OutcomeKind.ANSWERED || eventCount === 0) return;
    const {work} = this.options;
    work.recordOutput(route.name, eventCount, prompt.lengthHint);
  }

  private recordHealth(
    runner: Runner,
    {kind, reason, status, isWithheld, isCutUnread}: AttemptOutcome,
    wasSilent: boolean,
  ): void {
    if (kind === OutcomeKind.UNSENT || isWithheld || isCutUnread) return;
    if (kind === OutcomeKind.SUPERSEDED) return;
    if (kind === OutcomeKind.CALL_ENDED) {
      // A runner that sent nothing until the time limit is treated as down.
      if (wasSilent)
        this.countFailure(runner, 'silent to the end', SILENT_WEIGHT);
    } else if (kind === OutcomeKind.NOT_RUN) {
      if (isUnreachable({kind, reason, status}))
        this.countFailure(runner, reason, UNREACHABLE_WEIGHT);
      else if (status !== undefined) recordRefusal(runner);
    } else if (isFailure(kind)) {
      if (kind === OutcomeKind.BROKEN) runner.refusals.recordBroken();
      else runner.refusals.recordTaken();
      this.countFailure(runner, reason, FAILURE_WEIGHT);
    } else {
      runner.refusals.recordTaken();
      runner.health.recordSuccess();
    }
  }

  private recordEvidence(
    progress: CallProgress,
    runner: Runner,
    outcome: AttemptOutcome,
    timing: AttemptTiming,
  ): void {
    const rollout = this.findActiveRollout(progress.call.service);
    if (!rollout) return;
    const {kind} = outcome;
    const {evidence, order} = rollout;
    const isFresh = runner.entry.version === order.version;
    const cell = evidenceCellOf(progress);
    const {durationMs} = timing;
    const expectedMs = expectedByPromptMs(progress, timing.expectedLatencyMs);
    // An unused response of a small model ends with its headers; a slow version sends these late as well.
    const latencyMs =
      kind === OutcomeKind.LOW_CONFIDENCE ? durationMs : timing.latencyMs;
    const isComparable = isLatencyComparable(timing, rollout);
    const firstMs = isComparable ? latencyMs : undefined;
    const eventMs = isComparable ? timing.eventIntervalMs : undefined;
    const isAlike = !runner.isCold && (timing.isUnloaded || expectedMs === 0);
    const times = {firstMs, expectedMs, eventMs, isComparable: isAlike};
    if (kind === OutcomeKind.CALL_ENDED) {
      const waited = {firstMs: durationMs, expectedMs, isComparable: isAlike};
      const isUnanswered = isComparable && latencyMs === undefined;
      if (isUnanswered)
        this.recordOnceReachable(runner, () =>
          evidence.recordUnanswered(cell, isFresh, waited),
        );
    }
    if (!isVersionEvidence(kind)) return;
    if (outcome.isCutUnread || outcome.isGivenUp) return;
    const record = () =>
      evidence.recordEnded(
        cell,
        isFresh,
        isFailure(kind),
        times,
        kind === OutcomeKind.BROKEN,
      );
    if (mayBeOwnFault(outcome, timing))
      this.recordOnceReachable(runner, record);
    else record();
  }

  /** Records what may be the fault of this host's links once another runner is heard of. */
  private recordOnceReachable(runner: Runner, record: () => void): void {
    this.options.reachability.whenConfirmed(runner, record);
  }

  private findActiveRollout(service: string): Rollout | undefined {
    const rollout = this.options.rollouts.get(service);
    return rollout?.phase === RolloutPhase.ACTIVE ? rollout : undefined;
  }

  private countFailure(runner: Runner, reason: string, weight: number): void {
    const {directory, log} = this.options;
    const {health, entry} = runner;
    const peerOutcomes = runner.peerLoad.lastFromPeers;
    health.recordFailure(weight);
    const others = directory
      .listAcceptingCalls(entry.service)
      .filter(other => other !== runner);
    const othersShare = computeFailureShare(others);
    const ownFailed = health.failureWeight;
    const forMs = health.ejectIfOutlier(
      othersShare,
      peerOutcomes.ok,
      peerOutcomes.failed,
    );
    if (forMs === undefined) return;
    log.write('runner_ejected', {
      runner: entry.id,
      service: entry.service,
      forMs,
      ownFailed: roundToHundredths(ownFailed),
      remoteFailed: roundToHundredths(peerOutcomes.failed),
      othersShare: roundToHundredths(othersShare),
      reason,
    });
  }
}

/** Records a refusal, unless the runner has stated when it takes requests: that is kept by a bound of its own. */
function recordRefusal(runner: Runner): void {
  const {availability, brittleness, limit, refusals} = runner;
  const isBrittle = brittleness.perSecond !== undefined;
  const isLimited = limit.perSecond !== undefined;
  if (isBrittle || isLimited || availability.restLeftMs > 0) return;
  refusals.recordRefused();
}

/** Whether no connection to the runner could be opened, though there was room for one. */
function isUnreachable({
  kind,
  reason,
  status,
  isWithheld,
}: AttemptOutcome): boolean {
  const isUnsent = kind === OutcomeKind.NOT_RUN && status === undefined;
  return isUnsent && !isWithheld && reason !== 'saturated';
}

/** Whether an attempt failed for want of bytes from its runner: the fault may be on this host's links. */
function mayBeOwnFault(
  {kind, status, isTruncated = false}: AttemptOutcome,
  {wasSilent}: AttemptTiming,
): boolean {
  const hasNoBytes = isTruncated || wasSilent || status === undefined;
  return kind === OutcomeKind.BROKEN && hasNoBytes;
}

/** Versions are compared per route and model. */
function evidenceCellOf({call, model}: CallProgress): string {
  return `${call.route.name}/${model ?? ''}`;
}

/**
 * Whether latencies are evidence on the version. They aren't if hosts concentrate their calls on
 * few runners with empty prompt caches, or move all calls to such runners at once, because the
 * calls then queue behind each other: at 180 calls a second, three of three good versions did not
 * complete in time when this counted as slow.
 */
function isLatencyComparable(
  {isConcentrated}: Pick<AttemptTiming, 'isConcentrated'>,
  {isInCanaryPhase}: Rollout,
): boolean {
  return isInCanaryPhase && !isConcentrated;
}

/** Latency expected from the prompt's length, in ms; 0 without a prompt, as there is no estimate then. */
function expectedByPromptMs(
  {call}: CallProgress,
  expectedLatencyMs: number,
): number {
  return call.prompt ? expectedLatencyMs : 0;
}

/** Whether the outcome is evidence on the runner's version. */
function isVersionEvidence(kind: OutcomeKind): boolean {
  return (
    kind !== OutcomeKind.CALL_ENDED &&
    kind !== OutcomeKind.NOT_RUN &&
    kind !== OutcomeKind.SUPERSEDED &&
    kind !== OutcomeKind.UNSENT
  );
}

function isFailure(kind: OutcomeKind): boolean {
  return kind === OutcomeKind.RUNNER_ERROR || kind === OutcomeKind.BROKEN;
}

/** Share of failures among the outcomes at these runners, as seen by all hosts; 0 to 1. */
function computeFailureShare(runners: readonly Runner[]): number {
  let ok = 0;
  let failed = 0;
  for (const {health, peerLoad} of runners) {
    ok += health.successWeight + peerLoad.lastFromPeers.ok;
    failed += health.failureWeight + peerLoad.lastFromPeers.failed;
  }
  return failed / Math.max(1, ok + failed);
}
