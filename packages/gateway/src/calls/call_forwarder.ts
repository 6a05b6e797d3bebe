import type {RetrySchedule} from '@bayspool/decisions/admission';
import type {
  ModelCascade,
  PartQuarantine,
  Quarantine,
  SharedRetryBudget,
  SessionVersions,
  PriorityAdmission,
} from '@bayspool/decisions/calls';
import type {OverloadControl} from '@bayspool/decisions/admission';
import type {
  DurationEstimator,
  WorkEstimator,
} from '@bayspool/decisions/capacity';
import {sleep} from '@bayspool/kernel';
import type {Clock, ConnectionReads, RandomSource} from '@bayspool/kernel';
import type {RunnerDirectory} from '../discovery/runner_directory.js';
import type {MembershipView} from '../peers/membership_view.js';
import type {StopAdmission} from '../lifecycle/stop_admission.js';
import type {StopSchedule} from '../lifecycle/stop_schedule.js';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {RolloutRegistry} from '../rollouts/rollout_registry.js';
import type {PrefixCacheIndex} from '../runners/prefix_cache_index.js';
import type {PrefillRates} from '../runners/prefill_rates.js';
import type {RelayHostRegistry} from '../relay/relay_host_registry.js';
import {CallRelay} from '../relay/call_relay.js';
import type {RunnerChoice} from '../runners/runner_choice.js';
import type {RunnerReachability} from '../runners/runner_reachability.js';
import type {RunnerChooser} from '../runners/runner_chooser.js';
import type {RunnerGate} from '../runners/runner_gate.js';
import {EscalationPolicy} from './escalation_policy.js';
import {OutcomeKind} from './outcome_kind.js';
import {AttemptRecorder} from './attempt_recorder.js';
import {AttemptRunner} from './attempt_runner.js';
import {awaitCall} from './await_call.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import {CallAdmission} from './call_admission.js';
import type {CallCandidates} from './call_candidates.js';
import {AttemptRouter} from './attempt_router.js';
import {CallWorkEstimator} from './call_work_estimator.js';
import type {CallRejection} from './call_rejection.js';
import type {CallerResponse} from './caller_response.js';
import {CallProgress} from './call_progress.js';
import {ChoiceRecorder} from './choice_recorder.js';
import {CallFinisher} from './call_finisher.js';
import type {HeaderNames} from './header_names.js';
import type {IncomingCall} from './incoming_call.js';
import type {SilentRunnerMonitor} from './silent_runner_monitor.js';
import {RetryPolicy} from './retry_policy.js';
import {CrashAttribution} from './crash_attribution.js';
import {findHold} from '../quarantine/find_hold.js';
import type {QuarantineHold} from '../quarantine/quarantine_hold.js';
import {RunSuccession} from './run_succession.js';
import {StartedResponseWait} from './started_response_wait.js';
import {SuccessorPolicy} from './successor_policy.js';
import {SuccessorRefusal} from './successor_refusal.js';
import {RunnerHeaderBuilder} from './runner_header_builder.js';
import {WithheldRunnerReporter} from './withheld_runner_reporter.js';
import type {WorkShare} from './work_share.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly headerNames: HeaderNames;
  /** How old this host's knowledge of its callers' connections is. */
  readonly connectionReads: ConnectionReads;
  readonly workShare: WorkShare;
  readonly stopSchedule: StopSchedule;
  readonly stopAdmission: StopAdmission;
  /** How long calls take to the end of their responses. */
  readonly durations: DurationEstimator;
  readonly directory: RunnerDirectory;
  readonly candidates: CallCandidates;
  readonly rollouts: RolloutRegistry;
  readonly sessions: SessionVersions;
  readonly chooser: RunnerChooser;
  readonly gate: RunnerGate;
  readonly reachability: RunnerReachability;
  readonly silentRunners: SilentRunnerMonitor;
  /** Name of this host. */
  readonly host: string;
  readonly relayHosts: RelayHostRegistry;
  readonly prefixes: PrefixCacheIndex;
  readonly rates: PrefillRates;
  readonly work: WorkEstimator;
  /** Tokens that fit into the memory of a runner of a service; undefined if unknown. */
  readonly memoryTokensOf: (service: string) => number | undefined;
  readonly cascade: ModelCascade;
  /** Requests that are quarantined because runners crashed while running them. */
  readonly quarantine: Quarantine;
  /** Parts of prompts that are quarantined because runners crashed on them. */
  readonly partQuarantine: PartQuarantine;
  /** Shortest latency target of a service's routes, in ms. */
  readonly latencyTargetOf: (service: string) => number;
  /** Age of the runner loads reported by other hosts, in ms. */
  readonly loadsAgeMs: () => number;
  /** Retry budget of a service. */
  readonly retryBudgetOf: (service: string) => SharedRetryBudget;
  readonly membership: MembershipView;
  /** Admits calls of a service by priority when its runners accept fewer than are requested. */
  readonly priorityAdmissionOf: (service: string) => PriorityAdmission;
  /** Reserves capacity of a service for the retries of rejected calls. */
  readonly retryScheduleOf: (service: string) => RetrySchedule;
  /** Admission control of a service. */
  readonly overloadControlOf: (service: string) => OverloadControl;
  /** The next less urgent priority among the routes of a service; Infinity if there is none. */
  readonly nextPriorityOf: (service: string, priority: number) => number;
}

/** Longest time for which a call waits that is held back for a moment, and the time between two checks, in ms. */
const MAX_BRIEF_HOLD_MS = 3_500;
const HOLD_CHECK_MS = 50;
/** Why a call is rejected that no runner has the memory for. */
const TOO_LARGE = 'larger than the memory of any runner';

/** Sends a call to a runner, and retries it at other runners where that is allowed and useful. */
export class CallForwarder {
  private readonly attempts: AttemptRunner;
  private readonly successorPolicy: SuccessorPolicy;
  private readonly router: AttemptRouter;
  private readonly admission: CallAdmission;
  private readonly withheldReporter: WithheldRunnerReporter;
  private readonly retryPolicy: RetryPolicy;
  private readonly escalationPolicy: EscalationPolicy;
  private readonly startedResponseWait: StartedResponseWait;
  private readonly finisher: CallFinisher;
  private readonly relay: CallRelay;
  private readonly workEstimator: CallWorkEstimator;

  constructor(private readonly options: Options) {
    const {clock, log, metrics, retryBudgetOf} = options;
    const {cascade, quarantine, partQuarantine, membership, stopAdmission} =
      options;
    this.workEstimator = new CallWorkEstimator(options);
    const {workEstimator} = this;
    this.router = new AttemptRouter({...options, workEstimator});
    this.admission = new CallAdmission(options);
    this.withheldReporter = new WithheldRunnerReporter(options);
    this.retryPolicy = new RetryPolicy({
      clock,
      log,
      metrics,
      cascade,
      quarantine,
      partQuarantine,
      retryBudgetOf,
      membership,
      stopAdmission,
    });
    this.escalationPolicy = new EscalationPolicy({
      ...options,
      retryPolicy: this.retryPolicy,
      chooseRunner: (progress, model) => this.router.choose(progress, model),
    });
    this.startedResponseWait = new StartedResponseWait(options);
    this.finisher = new CallFinisher(options);
    this.relay = new CallRelay({
      ...options,
      hosts: options.relayHosts,
      retryPolicy: this.retryPolicy,
      finisher: this.finisher,
    });
    this.attempts = new AttemptRunner({
      ...options,
      attemptRecorder: new AttemptRecorder(options),
      choiceRecorder: new ChoiceRecorder(options),
      crashAttribution: new CrashAttribution(options),
      headerBuilder: new RunnerHeaderBuilder(options.headerNames),
      retryPolicy: this.retryPolicy,
    });
    this.successorPolicy = new SuccessorPolicy({
      ...options,
      router: this.router,
      relay: this.relay,
      retryPolicy: this.retryPolicy,
    });
  }

  /**
   * Attempts a call at runners until one responds or no further attempt is possible, and sends the
   * caller the response.
   */
  async forward(
    call: IncomingCall,
    caller: CallerResponse,
    signal: AbortSignal,
  ): Promise<void> {
    const {cascade} = this.options;
    const {route} = call;
    const model =
      route.models.length > 0 ? cascade.chooseFirstModel(route) : call.model;
    const progress = new CallProgress({call, model});
    const hold = findHold(call, this.options);
    if (hold && !hold.isBrief)
      return this.finisher.rejectQuarantined(progress, caller, hold);
    if (this.workEstimator.exceedsMemory(call, model))
      return this.finisher.reject(progress, caller, {reason: TOO_LARGE});
    const {finisher} = this;
    const work = this.attemptUntilEnded(progress, caller, signal).finally(() =>
      // A reservation for an attempt that was never made would stay in use.
      progress.retryReservation?.release(),
    );
    await awaitCall(
      {...this.options, finisher, progress, caller, signal},
      work,
    );
  }

  private async attemptUntilEnded(
    progress: CallProgress,
    caller: CallerResponse,
    signal: AbortSignal,
  ): Promise<void> {
    const {call} = progress;
    const hold = await this.awaitBriefHold(call, signal);
    if (hold && !signal.aborted)
      return this.finisher.rejectQuarantined(progress, caller, hold);
    for (;;) {
      const unfinishable = this.findStopRejection(progress, caller);
      if (unfinishable)
        return this.finisher.reject(progress, caller, unfinishable);
      const relayHost = this.relay.choose(progress);
      if (relayHost) {
        const {relay} = this;
        if (await relay.run(progress, relayHost, caller, signal)) return;
        continue;
      }
      const unreachable = this.relay.findRejection(progress);
      if (unreachable) {
        if (await this.waitForHost(progress, unreachable, caller, signal))
          continue;
        if (!signal.aborted)
          return this.finisher.reject(progress, caller, unreachable);
        const reason = String(signal.reason);
        return this.finisher.finishUnanswered(progress, caller, reason);
      }
      this.countCall(progress);
      const refused = await this.admission.findRejection(progress, signal);
      if (refused && !signal.aborted)
        return this.finisher.reject(progress, caller, refused);
      if (refused) {
        const reason = String(signal.reason);
        return this.finisher.finishUnanswered(progress, caller, reason);
      }
      const choice = this.router.choose(progress);
      if (progress.withheldCount > 0) this.withheldReporter.report(progress);
      if (await this.waitForRunner(progress, choice, signal)) {
        if (!signal.aborted) continue;
        const reason = String(signal.reason);
        return this.finisher.finishUnanswered(progress, caller, reason);
      }
      if (!choice) {
        const rejection = this.router.explainRejection(progress);
        return this.finisher.reject(progress, caller, rejection);
      }
      const succession = this.createSuccession(progress, caller, signal);
      const {runner, outcome} = await succession.run(choice);
      if (outcome.kind === OutcomeKind.ANSWERED)
        return this.finisher.finishAnswered(progress, outcome, runner, caller);
      if (outcome.kind === OutcomeKind.CALL_ENDED || signal.aborted)
        return this.finisher.finishUnanswered(
          progress,
          caller,
          String(signal.reason),
        );
      if (!(await this.awaitRetry(progress, outcome, caller, signal))) {
        const held = progress.mayHaveRun
          ? undefined
          : findHold(call, this.options);
        if (held)
          return this.finisher.rejectQuarantined(progress, caller, held);
        const stopping = progress.mayHaveRun
          ? undefined
          : this.findStopRejection(progress, caller);
        if (stopping) return this.finisher.reject(progress, caller, stopping);
        const {minRetryMs} = this.router.explainRejection(progress);
        const reason = signal.aborted ? String(signal.reason) : outcome.reason;
        return this.finisher.finishUnanswered(
          progress,
          caller,
          reason,
          minRetryMs,
        );
      }
    }
  }

  /** Waits while a call is held back for a moment only. @returns why it is held back for longer, if it is */
  private async awaitBriefHold(
    call: IncomingCall,
    signal: AbortSignal,
  ): Promise<QuarantineHold | undefined> {
    const {clock} = this.options;
    const until = clock.now() + MAX_BRIEF_HOLD_MS;
    let hold = findHold(call, this.options);
    while (hold?.isBrief && !signal.aborted && clock.now() < until) {
      await sleep(clock, HOLD_CHECK_MS, signal);
      hold = findHold(call, this.options);
    }
    return hold;
  }

  /**
   * Decides whether a call is sent once more. A started response that only the retry budget keeps from it waits until
   * calls have earned a retry.
   */
  private async awaitRetry(
    progress: CallProgress,
    outcome: AttemptOutcome,
    {hasStarted}: CallerResponse,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {retryPolicy, startedResponseWait} = this;
    while (!retryPolicy.decideRetry(progress, outcome)) {
      const minRetryMs = hasStarted
        ? retryPolicy.estimateBudgetWaitMs(progress, outcome)
        : undefined;
      const wait = {reason: SuccessorRefusal.BUDGET_SPENT, minRetryMs};
      const hasWaited = await startedResponseWait.waitForRunner(
        progress,
        wait,
        false,
        signal,
      );
      if (!hasWaited || signal.aborted) return false;
    }
    return true;
  }

  private createSuccession(
    progress: CallProgress,
    caller: CallerResponse,
    signal: AbortSignal,
  ): RunSuccession {
    const {clock} = this.options;
    const {attempts, successorPolicy: policy, escalationPolicy} = this;
    return new RunSuccession({
      clock,
      attempts,
      policy,
      progress,
      caller,
      signal,
      acceptsConfidence: confidence =>
        escalationPolicy.acceptsResponse(progress, confidence),
    });
  }

  /**
   * Returns why a call is not sent now, as this host stops; a started response goes on as far as it comes, and an escalation
   * was decided on.
   */
  private findStopRejection(
    {call, stopPhase, model, isEscalating}: CallProgress,
    {hasStarted}: CallerResponse,
  ): CallRejection | undefined {
    if (hasStarted || isEscalating) return undefined;
    return this.options.stopAdmission.findRejection(call, stopPhase, model);
  }

  /** Counts a call when this host is first to send it to a runner; another host may have counted it in the retry budget. */
  private countCall(progress: CallProgress): void {
    const {retryBudgetOf, priorityAdmissionOf} = this.options;
    const {service, priority} = progress.call;
    if (!progress.isRequested) {
      progress.isRequested = true;
      priorityAdmissionOf(service).recordRequested(priority);
    }
    if (progress.isCounted) return;
    progress.isCounted = true;
    retryBudgetOf(service).recordCall();
  }

  /**
   * Lets a started response wait until another host may take the call.
   *
   * @returns whether it has waited, and the call goes on
   */
  private async waitForHost(
    progress: CallProgress,
    rejection: CallRejection,
    {hasStarted}: CallerResponse,
    signal: AbortSignal,
  ): Promise<boolean> {
    if (!hasStarted) return false;
    const hasWaited = await this.startedResponseWait.waitForRunner(
      progress,
      rejection,
      false,
      signal,
    );
    // The hosts that refused may be asked again.
    progress.relayCount = 0;
    return hasWaited && !signal.aborted;
  }

  /**
   * Lets a started response wait for a closed runner if all open ones have failed it, or none is open.
   *
   * @returns whether it has waited
   */
  private async waitForRunner(
    progress: CallProgress,
    choice: RunnerChoice | undefined,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {startedByVersion, triedRunners} = progress;
    if (startedByVersion === undefined) return false;
    if (choice && !triedRunners.has(choice.runner.entry.id)) return false;
    const rejection = choice
      ? this.router.explainReuse(progress, startedByVersion)
      : this.router.explainRejection(progress);
    const hasChoice = choice !== undefined;
    return this.startedResponseWait.waitForRunner(
      progress,
      rejection,
      hasChoice,
      signal,
    );
  }
}
