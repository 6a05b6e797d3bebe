import {RolloutPhase} from '@bayspool/decisions/calls';
import type {RunnerDirectory} from '../discovery/runner_directory.js';
import type {Rollout} from '../rollouts/rollout.js';
import type {RolloutRegistry} from '../rollouts/rollout_registry.js';
import {VersionReason} from '../rollouts/version_reason.js';
import type {VersionPreference} from '../rollouts/version_preference.js';
import type {Runner} from '../runners/runner.js';
import type {RunnerChooser} from '../runners/runner_chooser.js';
import type {CallProgress} from './call_progress.js';

interface Options {
  readonly chooser: RunnerChooser;
  readonly directory: RunnerDirectory;
  readonly rollouts: RolloutRegistry;
}

/** The runners of a call's service. */
interface ServiceRunners {
  /** Runners that accept calls. */
  readonly eligible: readonly Runner[];
  /** Those of them to which the call may be sent now. */
  readonly available: readonly Runner[];
}

/** Unreachable runners of a version after which the version counts as gone for a started response. */
const MAX_UNREACHABLE = 3;

/**
 * Decides which version continues a response of which the caller already has a part. It stays with its
 * version, even if its session has moved to another one since, while runners of that version can still
 * be expected to continue it. Otherwise it continues at another version: the caller would lose both the
 * part that it has and the rest.
 */
export class StartedResponsePolicy {
  constructor(private readonly options: Options) {}

  /** Returns the preference; undefined if no response has started or its version has no runner left. */
  choosePreference(
    progress: CallProgress,
    {eligible, available}: ServiceRunners,
  ): VersionPreference | undefined {
    const {startedByVersion: version} = progress;
    if (version === undefined) return undefined;
    if (!this.hasRunner(progress, version, eligible)) return undefined;
    const own = available.filter(({entry}) => entry.version === version);
    const alternatives = this.filterAlternatives(progress, version, available);
    const reason = this.findReasonToLeave(progress, own, alternatives);
    if (reason === undefined)
      return {preferred: version, reason: VersionReason.RESPONSE_STARTED};
    const usable = this.options.chooser.listUsable(
      alternatives,
      progress.triedRunners,
    );
    const [{entry: next}] = usable.length > 0 ? usable : alternatives;
    return {preferred: next.version, reason};
  }

  /** Whether a runner may continue a response that a version started. */
  mayContinue(
    progress: CallProgress,
    version: string,
    runner: Runner,
  ): boolean {
    if (runner.entry.version === version) return true;
    return this.filterAlternatives(progress, version, [runner]).length > 0;
  }

  /**
   * Whether a version has a runner. A completed rollout stops the old version's runners
   * immediately, while their entries remain for some seconds.
   */
  private hasRunner(
    {call: {service}}: CallProgress,
    version: string,
    eligible: readonly Runner[],
  ): boolean {
    const rollout = this.options.rollouts.get(service);
    const isStopped =
      rollout?.phase === RolloutPhase.COMPLETE &&
      rollout.order.version !== version;
    const isCandidate = ({entry, availability}: Runner) =>
      entry.version === version && !availability.isLeaving;
    return !isStopped && eligible.some(isCandidate);
  }

  /** Returns why the response leaves its version; undefined if it stays, or no other version may continue it. */
  private findReasonToLeave(
    progress: CallProgress,
    own: readonly Runner[],
    alternatives: readonly Runner[],
  ): VersionReason | undefined {
    const {chooser, rollouts} = this.options;
    const {call, startedByVersion: version, triedRunners} = progress;
    if (alternatives.length === 0) return undefined;
    if (own.length === 0) return VersionReason.RESPONSE_VERSION_FAILED;
    if (chooser.listUsable(alternatives, triedRunners).length === 0)
      return undefined;
    if (isUnreachable(progress, version!))
      return VersionReason.RESPONSE_VERSION_UNREACHABLE;
    const rollout = rollouts.get(call.service);
    const hasNewFailed =
      rollout !== undefined &&
      rollout.order.version === version &&
      hasFailed(rollout, progress);
    const hasUsable = chooser.listUsable(own, triedRunners).length > 0;
    if (hasUsable && !hasNewFailed) return undefined;
    return VersionReason.RESPONSE_VERSION_FAILED;
  }

  /** Returns the runners of other versions that may continue responses of a version. */
  private filterAlternatives(
    progress: CallProgress,
    version: string,
    runners: readonly Runner[],
  ): readonly Runner[] {
    const {directory, rollouts} = this.options;
    const {service} = progress.call;
    const awaitingOrder = directory.listVersionsAwaitingOrder(service);
    const rollout = rollouts.get(service);
    const versions = new Set(runners.map(({entry}) => entry.version));
    const accepting = [...versions].filter(
      other =>
        other !== version &&
        !awaitingOrder.has(other) &&
        !isUnreachable(progress, other) &&
        (rollout?.acceptsResponsesOf(other) ?? true),
    );
    return runners.filter(({entry}) => accepting.includes(entry.version));
  }
}

function isUnreachable(
  {unreachableVersions}: CallProgress,
  version: string,
): boolean {
  const count = unreachableVersions.filter(other => other === version).length;
  return count >= MAX_UNREACHABLE;
}

/**
 * Whether the new version of a rollout should not get another attempt at the response. A single failure
 * may be that of its runner alone; the last attempt does not go to a version that has just failed.
 */
function hasFailed(
  rollout: Rollout,
  {attemptsLeft, failedVersions}: CallProgress,
): boolean {
  if (rollout.phase === RolloutPhase.COMPLETE) return false;
  if (rollout.isRolledBack || rollout.isSuspect) return true;
  const {version} = rollout.order;
  const failures = failedVersions.filter(failed => failed === version).length;
  return failures > 1 || attemptsLeft <= 1;
}
