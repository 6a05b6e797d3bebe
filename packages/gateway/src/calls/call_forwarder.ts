import type {
  ModelCascade,
  Quarantine,
  SharedRetryBudget,
  SessionVersions,
  PriorityAdmission,
} from '@bayspool/decisions/calls';
import type {Clock, RandomSource} from '@bayspool/kernel';
import type {RunnerDirectory} from '../beliefs/runner_directory.js';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {RolloutRegistry} from '../rollouts/rollout_registry.js';
import type {PrefixCacheIndex} from '../runners/prefix_cache_index.js';
import type {PrefillRates} from '../runners/prefill_rates.js';
import type {Runner} from '../runners/runner.js';
import type {RunnerChoice} from '../runners/runner_choice.js';
import type {RunnerChooser} from '../runners/runner_chooser.js';
import type {RunnerGate} from '../runners/runner_gate.js';
import {EscalationPolicy} from './escalation_policy.js';
import {Attempt} from './attempt.js';
import {OutcomeKind} from './outcome_kind.js';
import {AttemptRecorder} from './attempt_recorder.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {CallCandidates} from './call_candidates.js';
import {AttemptRouter} from './attempt_router.js';
import type {CallerResponse} from './caller_response.js';
import {CallProgress} from './call_progress.js';
import {estimateLatencyMs} from './estimate_latency_ms.js';
import {computeEventIntervalMs} from './compute_event_interval_ms.js';
import {CallFinisher} from './call_finisher.js';
import type {HeaderNames} from './header_names.js';
import type {IncomingCall} from './incoming_call.js';
import {RetryPolicy} from './retry_policy.js';
import {CrashAttribution} from './crash_attribution.js';
import {RunnerHeaderBuilder} from './runner_header_builder.js';
import {WithheldRunnerReporter} from './withheld_runner_reporter.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly headerNames: HeaderNames;
  readonly directory: RunnerDirectory;
  readonly candidates: CallCandidates;
  readonly rollouts: RolloutRegistry;
  readonly sessions: SessionVersions;
  readonly chooser: RunnerChooser;
  readonly gate: RunnerGate;
  readonly prefixes: PrefixCacheIndex;
  readonly rates: PrefillRates;
  readonly cascade: ModelCascade;
  /** Which requests are held back, as runners ended under them. */
  readonly quarantine: Quarantine;
  /** The shortest latency target of a service's routes, in ms. */
  readonly latencyTargetOf: (service: string) => number;
  /** How old what other hosts told of loads is, in ms. */
  readonly loadsAgeMs: () => number;
  /** The retry budget of a service. */
  readonly retryBudgetOf: (service: string) => SharedRetryBudget;
  /** Who gets what runners of a service take, where that is less than is wanted. */
  readonly priorityAdmissionOf: (service: string) => PriorityAdmission;
}

/** Share of other work beside its own with which a prompt's time still tells the engine's rate. */
const MAX_OTHER_WORK_SHARE = 0.3;

/** Brings a call to a runner, and to further ones where that is allowed and helps. */
export class CallForwarder {
  private readonly attemptRecorder: AttemptRecorder;
  private readonly crashAttribution: CrashAttribution;
  private readonly router: AttemptRouter;
  private readonly withheldReporter: WithheldRunnerReporter;
  private readonly retryPolicy: RetryPolicy;
  private readonly escalationPolicy: EscalationPolicy;
  private readonly finisher: CallFinisher;
  private readonly headerBuilder: RunnerHeaderBuilder;

  constructor(private readonly options: Options) {
    const {clock, random, log, metrics, directory, candidates} = options;
    const {
      rollouts,
      sessions,
      rates,
      cascade,
      quarantine,
      retryBudgetOf: budgetOf,
    } = options;
    const {gate} = options;
    this.attemptRecorder = new AttemptRecorder({
      log,
      metrics,
      directory,
      rollouts,
      sessions,
      rates,
    });
    this.router = new AttemptRouter(options);
    this.withheldReporter = new WithheldRunnerReporter(options);
    this.crashAttribution = new CrashAttribution({log, quarantine});
    this.retryPolicy = new RetryPolicy({
      clock,
      log,
      metrics,
      candidates,
      gate,
      cascade,
      quarantine,
      retryBudgetOf: budgetOf,
    });
    this.escalationPolicy = new EscalationPolicy({
      ...options,
      retryPolicy: this.retryPolicy,
      chooseRunner: (progress, model) => this.router.choose(progress, model),
    });
    this.headerBuilder = new RunnerHeaderBuilder(options.headerNames);
    this.finisher = new CallFinisher({clock, random, log, metrics});
  }

  /** Sends a call to runners until it is answered or has to end, and gives the caller the answer. */
  async forward(
    call: IncomingCall,
    caller: CallerResponse,
    signal: AbortSignal,
  ): Promise<void> {
    const {
      cascade,
      retryBudgetOf: budgetOf,
      quarantine,
      priorityAdmissionOf: urgentFirstOf,
    } = this.options;
    const {route, service} = call;
    const model =
      route.models.length > 0 ? cascade.chooseFirstModel(route) : call.model;
    const progress = new CallProgress({call, model});
    const heldForMs = quarantine.remainingMs(call.fingerprint);
    if (heldForMs > 0)
      return this.finisher.refuseQuarantined(progress, caller, heldForMs);
    budgetOf(service).recordCall();
    urgentFirstOf(service).recordRequested(call.priority);
    for (;;) {
      const choice = this.router.choose(progress);
      if (progress.withheldCount > 0) this.withheldReporter.report(progress);
      if (!choice) {
        const refusal = this.router.explainRefusal(progress);
        return this.finisher.refuse(progress, caller, refusal);
      }
      const outcome = await this.runAttempt(progress, choice, caller, signal);
      progress.retryReservation?.release();
      progress.retryReservation = undefined;
      progress.recordOutcome(choice.runner, outcome);
      if (outcome.kind === OutcomeKind.ANSWERED)
        return this.finisher.finishAnswered(
          progress,
          outcome,
          choice.runner,
          caller,
        );
      if (outcome.kind === OutcomeKind.CALL_ENDED || signal.aborted)
        return this.finisher.finishUnanswered(
          progress,
          caller,
          String(signal.reason),
        );
      if (!this.retryPolicy.decideRetry(progress, outcome))
        return this.finisher.finishUnanswered(progress, caller, outcome.reason);
    }
  }

  private async runAttempt(
    progress: CallProgress,
    choice: RunnerChoice,
    caller: CallerResponse,
    signal: AbortSignal,
  ): Promise<AttemptOutcome> {
    const {clock} = this.options;
    const {call} = progress;
    const startedAt = clock.now();
    const expectedMs = estimateLatencyMs(choice);
    const isUnloaded = choice.waitMs < choice.workMs * MAX_OTHER_WORK_SHARE;
    this.recordChoice(progress, choice);
    const eventsBefore = caller.eventCount;
    const attempt = this.createAttempt(progress, choice, caller, signal);
    const endWatch = this.attemptRecorder.recordStart(progress, choice, () =>
      attempt.firstOutputAt === undefined ? clock.now() - startedAt : undefined,
    );
    const outcome = await attempt.run();
    endWatch();
    if (caller.hasStarted)
      progress.startedByVersion ??= choice.runner.entry.version;
    const firstMs =
      attempt.firstOutputAt === undefined
        ? undefined
        : attempt.firstOutputAt - startedAt;
    const {wasSilent: wasQuiet} = attempt;
    const forMs = clock.now() - startedAt;
    const events = caller.eventCount - eventsBefore;
    const eventMs = computeEventIntervalMs(forMs, firstMs, events);
    const timing = {firstMs, eventMs, forMs, expectedMs, isUnloaded, wasQuiet};
    this.attemptRecorder.recordEnd(progress, choice, outcome, timing);
    this.crashAttribution.recordOutcome(call, choice.runner, attempt, outcome);
    this.options.log.write('attempt_ended', {
      request: call.id,
      attempt: progress.attemptCount + 1,
      runner: choice.runner.entry.id,
      outcome: outcome.kind,
      reason: outcome.reason,
      status: outcome.status,
      begun: attempt.hasHead,
      confidence: outcome.confidence,
      namedLimit: attempt.declaredLimit,
      firstMs: firstMs === undefined ? undefined : Math.round(firstMs),
      lastEvent:
        caller.eventCount > eventsBefore ? caller.lastEventId : undefined,
      forMs: Math.round(forMs),
    });
    return outcome;
  }

  private createAttempt(
    progress: CallProgress,
    choice: RunnerChoice,
    caller: CallerResponse,
    signal: AbortSignal,
  ): Attempt {
    const {clock, headerNames: names} = this.options;
    const {call, model} = progress;
    return new Attempt({
      clock,
      headerNames: names,
      admit: () => this.admit(progress, choice.runner),
      headerBuilder: this.headerBuilder,
      call,
      choice,
      model,
      caller,
      signal,
      acceptsConfidence: confidence =>
        this.escalationPolicy.acceptsResponse(progress, confidence),
      hasOtherRunner: () =>
        this.retryPolicy.canFailOver(progress, choice.runner),
    });
  }

  /** Decides right before a request is sent. @returns why it must not be; undefined if it may, and then it counts as sent */
  private admit(progress: CallProgress, runner: Runner): string | undefined {
    const {gate, priorityAdmissionOf: urgentFirstOf} = this.options;
    const {service, priority} = progress.call;
    const refusal =
      gate.admit(runner) ?? this.retryPolicy.spendReservation(progress);
    if (refusal === undefined) urgentFirstOf(service).recordSent(priority);
    return refusal;
  }

  private recordChoice(progress: CallProgress, choice: RunnerChoice): void {
    const {log, metrics, rollouts, prefixes, sessions} = this.options;
    const {call, model} = progress;
    const {entry} = choice.runner;
    if (call.prompt && model !== undefined)
      prefixes.notePrompt(entry.id, model, call.prompt);
    if (call.session !== undefined && progress.startedByVersion === undefined)
      sessions.set(call.session, entry.version);
    const hasSession = call.session !== undefined;
    const {
      wish,
      isGranted,
      candidateCount: known = 0,
    } = progress.versionDecision ?? {};
    metrics.versionChoices.inc({
      service: entry.service,
      reason: wish?.reason,
      isGranted: String(isGranted),
    });
    log.write('runner_chosen', {
      request: call.id,
      attempt: progress.attemptCount + 1,
      runner: entry.id,
      service: entry.service,
      version: entry.version,
      versionReason: wish?.reason,
      versionGranted: isGranted,
      rememberedVersion: wish?.remembered,
      model,
      running: choice.runner.totalRunning,
      pendingMs: Math.round(choice.runner.totalPendingMs),
      loadsAgeMs: Math.round(this.options.loadsAgeMs()),
      waitMs: call.prompt && Math.round(choice.waitMs),
      workMs: call.prompt && Math.round(choice.workMs),
      unreadTokens: call.prompt && choice.unreadTokens,
      candidates: known,
      ejected: choice.ejected,
      reason: choice.reason,
      rolloutShare: rollouts.get(call.service)?.shareOf({hasSession}),
    });
  }
}
