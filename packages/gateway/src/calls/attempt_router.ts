import {RolloutPhase, chooseCanaryRunners} from '@bayspool/decisions/calls';
import type {Quarantine, PriorityAdmission} from '@bayspool/decisions/calls';
import type {RunnerDirectory} from '../discovery/runner_directory.js';
import type {RolloutRegistry} from '../rollouts/rollout_registry.js';
import {VersionReason} from '../rollouts/version_reason.js';
import type {VersionPreference} from '../rollouts/version_preference.js';
import type {Runner} from '../runners/runner.js';
import type {RunnerChoice} from '../runners/runner_choice.js';
import type {RunnerChooser} from '../runners/runner_chooser.js';
import type {RunnerGate} from '../runners/runner_gate.js';
import type {CallCandidates} from './call_candidates.js';
import type {CallProgress} from './call_progress.js';
import type {CallWorkEstimator} from './call_work_estimator.js';
import type {CallRejection} from './call_rejection.js';
import type {IncomingCall} from './incoming_call.js';
import {StartedResponsePolicy} from './started_response_policy.js';

interface Options {
  readonly candidates: CallCandidates;
  readonly chooser: RunnerChooser;
  readonly directory: RunnerDirectory;
  readonly gate: RunnerGate;
  readonly rollouts: RolloutRegistry;
  readonly workEstimator: CallWorkEstimator;
  /** Requests that are quarantined because runners crashed while running them. */
  readonly quarantine: Quarantine;
  /** Admits calls of a service by priority when its runners accept fewer than are requested. */
  readonly priorityAdmissionOf: (service: string) => PriorityAdmission;
}

/** Selects the runner for a call's next attempt: first the version, then a runner of that version. */
export class AttemptRouter {
  private readonly startedResponsePolicy: StartedResponsePolicy;

  constructor(private readonly options: Options) {
    this.startedResponsePolicy = new StartedResponsePolicy(options);
  }

  /**
   * Selects the runner for the next attempt; `model` may differ from the call's next model.
   *
   * @returns undefined if there is none
   */
  choose(
    progress: CallProgress,
    model = progress.model,
  ): RunnerChoice | undefined {
    const {candidates: callCandidates, chooser} = this.options;
    const {call, triedRunners} = progress;
    const eligible = callCandidates.listFor(call);
    const available = this.filterOpen(progress, eligible);
    const preference = this.decideVersion(progress, eligible, available);
    const matching = this.filterByVersion(available, preference, call.service);
    const isGranted = matching.length > 0;
    const allowed =
      isGranted || this.isRequired(call, preference, eligible)
        ? matching
        : available;
    const selected = this.narrowToCanaryRunners(progress, available, allowed);
    progress.isConcentrated = selected.length < allowed.length;
    progress.versionDecision = {
      preference,
      isGranted,
      candidateCount: eligible.length,
      matchingCount: matching.length,
      selectedCount: selected.length,
      untriedCount: selected.filter(({entry}) => !triedRunners.has(entry.id))
        .length,
    };
    const candidates = this.preferIdle(progress, selected);
    const {prompt, body} = call;
    const bodyBytes = body.length;
    return chooser.choose({
      candidates,
      tried: triedRunners,
      prefersUntried: progress.startedByVersion !== undefined,
      pauseTargetMs: call.route.pauseTargetMs,
      bodyBytes,
      model,
      prompt,
      route: call.route.name,
      memoryTokens: this.options.workEstimator.estimate(call, model)
        .memoryTokens,
    });
  }

  /**
   * Selects the runner for a run beside those under way, whose runners count as tried: an untried healthy one.
   *
   * @returns undefined if there is none
   */
  chooseSuccessor(progress: CallProgress): RunnerChoice | undefined {
    if (!this.hasUntriedRunner(progress)) return undefined;
    const choice = this.choose(progress);
    if (!choice || progress.triedRunners.has(choice.runner.entry.id))
      return undefined;
    return choice;
  }

  /** Whether a healthy runner to which the call was not sent before could take it, or go on with its response. */
  private hasUntriedRunner(progress: CallProgress): boolean {
    const {candidates, chooser, gate} = this.options;
    const {call, triedRunners, startedByVersion: version} = progress;
    const open = gate.filterOpen(candidates.listFor(call));
    const others = chooser.listUsable(open, triedRunners);
    if (version === undefined) return others.length > 0;
    return others.some(runner =>
      this.startedResponsePolicy.mayContinue(progress, version, runner),
    );
  }

  /** Explains why no runner is available for a call, and when one may be. */
  explainRejection({
    call,
    startedByVersion,
    versionDecision,
  }: CallProgress): CallRejection {
    const {candidates, gate} = this.options;
    const all = candidates.listFor(call);
    const preference = versionDecision?.preference;
    const eligible =
      preference && this.isRequired(call, preference, all)
        ? this.filterByVersion(all, preference, call.service)
        : all;
    const withheld = gate.listWithheld(eligible);
    if (withheld.length === 0) return {reason: candidates.explainNone(call)};
    if (withheld.length < eligible.length && startedByVersion === undefined)
      return {reason: 'room is kept for more urgent calls'};
    const first = withheld.reduce((a, b) => (b.waitMs < a.waitMs ? b : a));
    const {rejectionReason: reason} = first.bound;
    if (!Number.isFinite(first.waitMs)) return {reason};
    return {reason, minRetryMs: first.waitMs};
  }

  /** Explains why a started response has to go again to a runner that has failed it, and when another one may open. */
  explainReuse(
    progress: CallProgress,
    startedByVersion: string,
  ): CallRejection {
    const {candidates, gate} = this.options;
    const {call, triedRunners} = progress;
    const eligible = candidates.listFor(call);
    const untried = eligible.filter(
      runner =>
        !triedRunners.has(runner.entry.id) &&
        !runner.health.isEjected &&
        this.startedResponsePolicy.mayContinue(
          progress,
          startedByVersion,
          runner,
        ),
    );
    const waitsMs = gate.listWithheld(untried).map(({waitMs}) => waitMs);
    const shortestMs = Math.min(...waitsMs);
    const minRetryMs = Number.isFinite(shortestMs) ? shortestMs : undefined;
    return {reason: 'untried runners are closed', minRetryMs};
  }

  /** Returns the runners to which the call may be sent now. */
  private filterOpen(
    progress: CallProgress,
    eligible: readonly Runner[],
  ): readonly Runner[] {
    const {gate, priorityAdmissionOf} = this.options;
    const {call, startedByVersion} = progress;
    const open = gate.filterOpen(eligible);
    progress.withheldCount = eligible.length - open.length;
    // A started response bypasses priority admission, because its caller already has a part of it.
    if (open.length === eligible.length || startedByVersion !== undefined)
      return open;
    const priorityAdmission = priorityAdmissionOf(call.service);
    const isAdmitted = priorityAdmission.canAdmit(
      call.priority,
      gate.computeTotalRate(eligible),
    );
    return isAdmitted ? open : [];
  }

  /**
   * Prefers idle runners for a request during which a runner crashed: a further crash there affects
   * no other call and shows whether the request is the cause.
   */
  private preferIdle(
    {call, triedRunners}: CallProgress,
    runners: readonly Runner[],
  ): readonly Runner[] {
    const {quarantine} = this.options;
    const {fingerprint} = call;
    const isSuspect =
      quarantine.weightOf(fingerprint) > 0 ||
      quarantine.isOnProbation(fingerprint);
    if (!isSuspect) return runners;
    const idle = runners.filter(
      ({entry, totalRunning, health}) =>
        totalRunning === 0 && !health.isEjected && !triedRunners.has(entry.id),
    );
    return idle.length > 0 ? idle : runners;
  }

  /**
   * Whether a call may go to no other version than the preferred one, even if none of its runners may be called now. Without
   * any runner of that version, any runner will do, unless the response has started.
   */
  private isRequired(
    {service, session}: IncomingCall,
    preference: VersionPreference,
    eligible: readonly Runner[],
  ): boolean {
    const {preferred, reason} = preference;
    if (reason === VersionReason.RESPONSE_STARTED) return true;
    const suitable = this.filterByVersion(eligible, preference, service);
    if (suitable.length === 0) return false;
    const phase = this.options.rollouts.get(service)?.phase;
    // The old version may serve calls of a new one whose runners are closed, but not the other way round.
    if (preferred === undefined || phase === RolloutPhase.COMPLETE) return true;
    return session !== undefined && this.willOpen(suitable);
  }

  /** Whether one of these runners will take calls again, so that a session need not change its version. */
  private willOpen(runners: readonly Runner[]): boolean {
    const withheld = this.options.gate.listWithheld(runners);
    return withheld.some(({waitMs}) => Number.isFinite(waitMs));
  }

  /** Decides which version the next attempt should use. */
  private decideVersion(
    progress: CallProgress,
    eligible: readonly Runner[],
    available: readonly Runner[],
  ): VersionPreference {
    const {chooser, rollouts} = this.options;
    const {call, triedRunners, failedVersions} = progress;
    const preference = this.startedResponsePolicy.choosePreference(progress, {
      eligible,
      available,
    });
    if (preference) return preference;
    return rollouts.getVersionPreference({
      service: call.service,
      key: call.id,
      session: call.session,
      failedVersions,
      hasUntriedRunner: version =>
        chooser
          .listUsable(available, triedRunners)
          .some(({entry}) => entry.version === version),
    });
  }

  /**
   * Returns the runners of an acceptable version. A version that appeared before its rollout order
   * gets no calls until the order arrives.
   */
  private filterByVersion(
    available: readonly Runner[],
    {preferred, avoided}: VersionPreference,
    service: string,
  ): readonly Runner[] {
    if (preferred !== undefined)
      return available.filter(({entry: {version}}) => version === preferred);
    const unexplained =
      this.options.directory.listVersionsAwaitingOrder(service);
    return available.filter(
      ({entry: {version}}) => version !== avoided && !unexplained.has(version),
    );
  }

  /**
   * Sends the few calls of a canary to few of its runners, so that these run at the usual load. A runner to which
   * the call was sent before is no such runner: it would be the only one left for a retry.
   */
  private narrowToCanaryRunners(
    {call, triedRunners}: CallProgress,
    available: readonly Runner[],
    allowed: readonly Runner[],
  ): readonly Runner[] {
    const rollout = this.options.rollouts.get(call.service);
    if (!rollout?.isInCanaryPhase) return allowed;
    const {version} = rollout.order;
    if (allowed.some(({entry}) => entry.version !== version)) return allowed;
    const old = available.filter(({entry}) => entry.version !== version);
    const fresh = allowed.filter(
      ({entry, health}) => !health.isEjected && !triedRunners.has(entry.id),
    );
    if (old.length === 0 || fresh.length === 0) return allowed;
    const canaryRunners = chooseCanaryRunners({fresh, old});
    return canaryRunners.length < fresh.length ? canaryRunners : allowed;
  }
}
