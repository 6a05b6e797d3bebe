import {RolloutPhase, chooseCanaryRunners} from '@bayspool/decisions/calls';
import type {Quarantine, PriorityAdmission} from '@bayspool/decisions/calls';
import type {RunnerDirectory} from '../beliefs/runner_directory.js';
import type {RolloutRegistry} from '../rollouts/rollout_registry.js';
import {VersionReason} from '../rollouts/version_reason.js';
import type {VersionPreference} from '../rollouts/version_preference.js';
import type {Runner} from '../runners/runner.js';
import type {RunnerChoice} from '../runners/runner_choice.js';
import type {RunnerChooser} from '../runners/runner_chooser.js';
import type {RunnerGate} from '../runners/runner_gate.js';
import type {CallCandidates} from './call_candidates.js';
import type {CallProgress} from './call_progress.js';
import type {CallRefusal} from './call_refusal.js';
import type {IncomingCall} from './incoming_call.js';

interface Options {
  readonly candidates: CallCandidates;
  readonly chooser: RunnerChooser;
  readonly directory: RunnerDirectory;
  readonly gate: RunnerGate;
  readonly rollouts: RolloutRegistry;
  /** Which requests are held back, as runners ended under them. */
  readonly quarantine: Quarantine;
  /** Who gets what runners of a service take, where that is less than is wanted. */
  readonly priorityAdmissionOf: (service: string) => PriorityAdmission;
}

/** Runners of a begun answer's version that may be out of reach before the version counts as gone. */
const MAX_UNREACHABLE = 3;

/** Decides which runner gets a call's next attempt: the version that it is to have first, then the runner. */
export class AttemptRouter {
  constructor(private readonly options: Options) {}

  /** The runner for the next attempt, with a model that may differ from the one asked next; undefined if there is none. */
  choose(
    progress: CallProgress,
    model = progress.model,
  ): RunnerChoice | undefined {
    const {candidates: all, chooser} = this.options;
    const {call, triedRunners: tried} = progress;
    const known = all.listFor(call);
    const takers = this.filterOpen(progress, known);
    const wish = this.decideVersion(progress, known);
    const wished = this.filterByVersion(takers, wish, call.service);
    const isGranted = wished.length > 0;
    progress.versionDecision = {wish, isGranted, candidateCount: known.length};
    // Without a runner of a wished version any will do, but for an answer that has begun.
    const isBound = wish.reason === VersionReason.ANSWER_BEGUN;
    const allowed = isGranted || isBound ? wished : takers;
    const watched = this.narrowToCanaryRunners(takers, allowed, call.service);
    progress.isConcentrated = watched.length < allowed.length;
    const candidates = this.preferIdle(progress, watched);
    const {prompt, body} = call;
    const bodyBytes = body.length;
    return chooser.choose({candidates, tried, bodyBytes, model, prompt});
  }

  /** Why there is no runner for a call, and when there may be one. */
  explainRefusal({call, startedByVersion: begunBy}: CallProgress): CallRefusal {
    const {candidates, gate} = this.options;
    const known = candidates.listFor(call);
    const withheld = gate.listWithheld(known);
    if (withheld.length === 0) return {reason: candidates.explainNone(call)};
    if (withheld.length < known.length && begunBy === undefined)
      return {reason: 'room is kept for more urgent calls'};
    const leastMs = Math.min(...withheld.map(({waitMs}) => waitMs));
    const waitMs = Number.isFinite(leastMs) ? leastMs : undefined;
    return {reason: 'runners have all that they take', minRetryMs: waitMs};
  }

  /** Runners that may be sent the call now. */
  private filterOpen(
    progress: CallProgress,
    known: readonly Runner[],
  ): readonly Runner[] {
    const {gate, priorityAdmissionOf: urgentFirstOf} = this.options;
    const {call, startedByVersion: begunBy} = progress;
    const open = gate.filterOpen(known);
    progress.withheldCount = known.length - open.length;
    // An answer that has begun goes on: its caller holds a part of it.
    if (open.length === known.length || begunBy !== undefined) return open;
    const urgentFirst = urgentFirstOf(call.service);
    const mayUse = urgentFirst.canAdmit(
      call.priority,
      gate.computeTotalRate(known),
    );
    return mayUse ? open : [];
  }

  /**
   * A request under which a runner ended goes where nothing else runs, if it can: what it may end there is only itself,
   * and whether it was the cause is known then.
   */
  private preferIdle(
    {call, triedRunners: tried}: CallProgress,
    runners: readonly Runner[],
  ): readonly Runner[] {
    if (this.options.quarantine.weightOf(call.fingerprint) === 0)
      return runners;
    const idle = runners.filter(
      ({entry, totalRunning, health}) =>
        totalRunning === 0 && !health.isEjected && !tried.has(entry.id),
    );
    return idle.length > 0 ? idle : runners;
  }

  /**
   * An answer is made by one version, whatever its session has by the time at which a runner breaks off, as long as that
   * version has a runner: the end of a roll-out stops the old ones at once, and what their callers hold would be lost.
   */
  private decideVersion(
    progress: CallProgress,
    takers: readonly Runner[],
  ): VersionPreference {
    const {
      call,
      triedRunners: tried,
      startedByVersion: begunBy,
      failedVersions,
    } = progress;
    if (
      begunBy !== undefined &&
      this.hasRunnerOfVersion(begunBy, call, takers)
    ) {
      if (progress.unreachableCount < MAX_UNREACHABLE)
        return {preferred: begunBy, reason: VersionReason.ANSWER_BEGUN};
      return {
        avoided: begunBy,
        reason: VersionReason.ANSWER_VERSION_UNREACHABLE,
      };
    }
    return this.options.rollouts.getVersionPreference({
      service: call.service,
      key: call.id,
      session: call.session,
      failedVersions,
      hasUntriedRunner: version =>
        takers.some(
          ({entry}) => entry.version === version && !tried.has(entry.id),
        ),
    });
  }

  /** The end of a roll-out stops the runners of the old version at once; their entries go some seconds later. */
  private hasRunnerOfVersion(
    version: string,
    {service}: IncomingCall,
    takers: readonly Runner[],
  ): boolean {
    const rollout = this.options.rollouts.get(service);
    if (
      rollout?.phase === RolloutPhase.COMPLETE &&
      rollout.order.version !== version
    )
      return false;
    return takers.some(({entry}) => entry.version === version);
  }

  /** The runners of a version that is wished; one that appeared before its order waits for that. */
  private filterByVersion(
    takers: readonly Runner[],
    {preferred: only, avoided: not}: VersionPreference,
    service: string,
  ): readonly Runner[] {
    if (only !== undefined)
      return takers.filter(({entry: {version}}) => version === only);
    const held = this.options.directory.unexplainedVersions(service);
    return takers.filter(
      ({entry: {version}}) => version !== not && !held.has(version),
    );
  }

  /** Few calls of a version that is watched go to few of its runners, so that these bear the usual load. */
  private narrowToCanaryRunners(
    takers: readonly Runner[],
    allowed: readonly Runner[],
    service: string,
  ): readonly Runner[] {
    const rollout = this.options.rollouts.get(service);
    if (!rollout?.isCanary) return allowed;
    const {version} = rollout.order;
    if (allowed.some(({entry}) => entry.version !== version)) return allowed;
    const old = takers.filter(({entry}) => entry.version !== version);
    const fresh = allowed.filter(({health}) => !health.isEjected);
    if (old.length === 0 || fresh.length === 0) return allowed;
    const watched = chooseCanaryRunners({fresh, old});
    return watched.length < fresh.length ? watched : allowed;
  }
}
