import {RolloutPhase} from '@bayspool/decisions/calls';
import type {SessionVersions} from '@bayspool/decisions/calls';
import type {RunnerDirectory} from '../beliefs/runner_directory.js';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {Rollout} from '../rollouts/rollout.js';
import type {RolloutRegistry} from '../rollouts/rollout_registry.js';
import type {PrefillRates} from '../runners/prefill_rates.js';
import type {Runner} from '../runners/runner.js';
import type {RunnerChoice} from '../runners/runner_choice.js';
import {OutcomeKind} from './outcome_kind.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {AttemptTiming} from './attempt_timing.js';
import type {CallProgress} from './call_progress.js';
import {estimateLatencyMs} from './estimate_latency_ms.js';
import {roundHundredths} from '../observability/round_hundredths.js';

interface Options {
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly directory: RunnerDirectory;
  readonly rollouts: RolloutRegistry;
  readonly sessions: SessionVersions;
  readonly rates: PrefillRates;
}

/** Weight of a runner's silence to a call's end among its failures: enough to eject it. */
const SILENT_WEIGHT = 2.5;
/** Weight of a connection that did not come up: it leaves less doubt than a failed answer. */
const UNREACHABLE_WEIGHT = 2;
/** Weight of a failed answer: the unit of the others. */
const FAILURE_WEIGHT = 1;
/** Part of a route's latency target that a call without a prompt is expected to take. */
const USUAL_TARGET_SHARE = 0.5;

/** What an attempt teaches: the health and speed of its runner, and evidence on its version. */
export class AttemptRecorder {
  constructor(private readonly options: Options) {}

  /**
   * Counts an attempt that begins for a version that is being rolled out, and watches it.
   *
   * @returns what is to be called at its end
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

  /** Takes the outcome into what is believed of the runner and its version. */
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
    if (timing.firstMs !== undefined)
      this.recordLatency(progress, choice, timing.firstMs, timing);
    this.recordHealth(runner, outcome, timing.wasQuiet);
    this.recordEvidence(progress, runner, outcome.kind, timing);
  }

  /** Its session goes on from the end of a call; a long answer of the old version does not take it back. */
  private updateSession(session: string | undefined, version: string): void {
    if (session === undefined) return;
    const {sessions} = this.options;
    const known = sessions.get(session);
    if (known === undefined || known === version)
      sessions.set(session, version);
  }

  private recordLatency(
    {call, model}: CallProgress,
    {runner, unreadTokens}: RunnerChoice,
    firstMs: number,
    {expectedMs, isUnloaded}: AttemptTiming,
  ): void {
    // What a runner does while it is slow from its start says nothing of the time after.
    if (runner.isCold) return;
    if (!call.prompt) {
      const usualMs = call.route.latencyTargetMs * USUAL_TARGET_SHARE;
      runner.noteLatency(firstMs, usualMs);
      return;
    }
    runner.noteLatency(firstMs, expectedMs);
    if (model === undefined) return;
    this.options.rates.learn(model, unreadTokens, firstMs, isUnloaded);
  }

  private recordHealth(
    runner: Runner,
    {kind, reason, status, isWithheld}: AttemptOutcome,
    wasQuiet: boolean,
  ): void {
    if (kind === OutcomeKind.UNSENT || isWithheld) return;
    if (kind === OutcomeKind.CALL_ENDED) {
      // A runner that sent nothing until the time limit is as good as gone.
      if (wasQuiet)
        this.countFailure(runner, 'silent to the end', SILENT_WEIGHT);
    } else if (kind === OutcomeKind.NOT_RUN) {
      if (status === undefined && reason !== 'saturated')
        this.countFailure(runner, reason, UNREACHABLE_WEIGHT);
    } else if (isFailure(kind)) {
      this.countFailure(runner, reason, FAILURE_WEIGHT);
    } else {
      runner.health.recordSuccess();
    }
  }

  private recordEvidence(
    progress: CallProgress,
    runner: Runner,
    kind: OutcomeKind,
    timing: AttemptTiming,
  ): void {
    const rollout = this.findActiveRollout(progress.call.service);
    if (!rollout) return;
    const {evidence, order} = rollout;
    const isFresh = runner.entry.version === order.version;
    const cell = evidenceCellOf(progress);
    const {forMs} = timing;
    const expectedMs = expectedByPromptMs(progress, timing.expectedMs);
    // A small model's answer that is not used ends with its head, of which a slow version's comes late too.
    const headMs = kind === OutcomeKind.LOW_CONFIDENCE ? forMs : timing.firstMs;
    const isTelling = isLatencyComparable(progress, rollout);
    const firstMs = isTelling ? headMs : undefined;
    const eventMs = isTelling ? timing.eventMs : undefined;
    if (isTelling && kind === OutcomeKind.CALL_ENDED && headMs === undefined)
      evidence.recordUnanswered(cell, isFresh, {firstMs: forMs, expectedMs});
    if (isVersionEvidence(kind))
      evidence.recordEnded(cell, isFresh, isFailure(kind), {
        firstMs,
        expectedMs,
        eventMs,
      });
  }

  private findActiveRollout(service: string): Rollout | undefined {
    const rollout = this.options.rollouts.get(service);
    return rollout?.phase === RolloutPhase.ACTIVE ? rollout : undefined;
  }

  private countFailure(runner: Runner, reason: string, weight: number): void {
    const {directory, log} = this.options;
    const {health, entry} = runner;
    const remote = runner.peerLoad.lastFromPeers;
    health.recordFailure(weight);
    const others = directory
      .takersOf(entry.service)
      .filter(other => other !== runner);
    const othersShare = computeFailureShare(others);
    const ownFailed = health.failureWeight;
    const forMs = health.ejectIfOutlier(othersShare, remote.ok, remote.failed);
    if (forMs === undefined) return;
    log.write('runner_ejected', {
      runner: entry.id,
      service: entry.service,
      forMs,
      ownFailed: roundHundredths(ownFailed),
      remoteFailed: roundHundredths(remote.failed),
      othersShare: roundHundredths(othersShare),
      reason,
    });
  }
}

/** Answers are compared by route and model. */
function evidenceCellOf({call, model}: CallProgress): string {
  return `${call.route.name}/${model ?? ''}`;
}

/**
 * Whether the times of an answer tell of the version. Where hosts put their calls at few runners that have read no prompt yet, or
 * all calls move to such runners at once, these wait for each other: at 180 calls a second three of three good versions were
 * not complete in time when that counted as slow.
 */
function isLatencyComparable(
  {isConcentrated}: CallProgress,
  {isCanary: isWatched}: Rollout,
): boolean {
  return isWatched && !isConcentrated;
}

/** What was expected by the prompt's length; without a prompt nothing tells. */
function expectedByPromptMs({call}: CallProgress, expectedMs: number): number {
  return call.prompt ? expectedMs : 0;
}

/** Whether the outcome says something of the version that the runner has. */
function isVersionEvidence(kind: OutcomeKind): boolean {
  return (
    kind !== OutcomeKind.CALL_ENDED &&
    kind !== OutcomeKind.NOT_RUN &&
    kind !== OutcomeKind.UNSENT
  );
}

function isFailure(kind: OutcomeKind): boolean {
  return kind === OutcomeKind.RUNNER_ERROR || kind === OutcomeKind.BROKEN;
}

/** The share of failures among the outcomes at runners, as seen by all hosts; 0 to 1. */
function computeFailureShare(runners: readonly Runner[]): number {
  let ok = 0;
  let failed = 0;
  for (const {health, peerLoad: others} of runners) {
    ok += health.successWeight + others.lastFromPeers.ok;
    failed += health.failureWeight + others.lastFromPeers.failed;
  }
  return failed / Math.max(1, ok + failed);
}
