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
import type {RolloutBook} from '../rollouts/rollout_book.js';
import type {PrefixBook} from '../runners/prefix_book.js';
import type {ReadingRates} from '../runners/reading_rates.js';
import type {Runner} from '../runners/runner.js';
import type {RunnerChoice} from '../runners/runner_choice.js';
import type {RunnerChooser} from '../runners/runner_chooser.js';
import type {RunnerGate} from '../runners/runner_gate.js';
import {AnswerJudge} from './answer_judge.js';
import {Attempt} from './attempt.js';
import {AttemptKind} from './attempt_kind.js';
import {AttemptLessons} from './attempt_lessons.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {CallCandidates} from './call_candidates.js';
import {CallPlacement} from './call_placement.js';
import type {CallerAnswer} from './caller_answer.js';
import {CallProgress} from './call_progress.js';
import {expectedFirstMs} from './expected_first_ms.js';
import {meanEventMs} from './mean_event_ms.js';
import {FinalAnswer} from './final_answer.js';
import type {HeaderNames} from './header_names.js';
import type {IncomingCall} from './incoming_call.js';
import {RepeatRule} from './repeat_rule.js';
import {RequestLessons} from './request_lessons.js';
import {RunnerHeaders} from './runner_headers.js';
import {WithheldReport} from './withheld_report.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly names: HeaderNames;
  readonly directory: RunnerDirectory;
  readonly candidates: CallCandidates;
  readonly rollouts: RolloutBook;
  readonly sessions: SessionVersions;
  readonly chooser: RunnerChooser;
  readonly gate: RunnerGate;
  readonly prefixes: PrefixBook;
  readonly rates: ReadingRates;
  readonly cascade: ModelCascade;
  /** Which requests are held back, as runners ended under them. */
  readonly quarantine: Quarantine;
  /** The shortest latency target of a service's routes, in ms. */
  readonly targetOf: (service: string) => number;
  /** How old what other hosts told of loads is, in ms. */
  readonly loadsAgeMs: () => number;
  /** The retry budget of a service. */
  readonly budgetOf: (service: string) => SharedRetryBudget;
  /** Who gets what runners of a service take, where that is less than is wanted. */
  readonly urgentFirstOf: (service: string) => PriorityAdmission;
}

/** Share of other work beside its own with which a prompt's time still tells the engine's rate. */
const MAX_OTHER_WORK = 0.3;

/** Brings a call to a runner, and to further ones where that is allowed and helps. */
export class CallForwarder {
  private readonly lessons: AttemptLessons;
  private readonly requestLessons: RequestLessons;
  private readonly placement: CallPlacement;
  private readonly withheld: WithheldReport;
  private readonly repeats: RepeatRule;
  private readonly judge: AnswerJudge;
  private readonly final: FinalAnswer;
  private readonly runnerHeaders: RunnerHeaders;

  constructor(private readonly options: Options) {
    const {clock, random, log, metrics, directory, candidates} = options;
    const {rollouts, sessions, rates, cascade, quarantine, budgetOf} = options;
    const {gate} = options;
    this.lessons = new AttemptLessons({
      log,
      metrics,
      directory,
      rollouts,
      sessions,
      rates,
    });
    this.placement = new CallPlacement(options);
    this.withheld = new WithheldReport(options);
    this.requestLessons = new RequestLessons({log, quarantine});
    this.repeats = new RepeatRule({
      clock,
      log,
      metrics,
      candidates,
      gate,
      cascade,
      quarantine,
      budgetOf,
    });
    this.judge = new AnswerJudge({
      ...options,
      repeats: this.repeats,
      choose: (progress, model) => this.placement.choose(progress, model),
    });
    this.runnerHeaders = new RunnerHeaders(options.names);
    this.final = new FinalAnswer({clock, random, log, metrics});
  }

  /** Sends a call to runners until it is answered or has to end, and gives the caller the answer. */
  async forward(
    call: IncomingCall,
    caller: CallerAnswer,
    signal: AbortSignal,
  ): Promise<void> {
    const {cascade, budgetOf, quarantine, urgentFirstOf} = this.options;
    const {route, service} = call;
    const model =
      route.models.length > 0 ? cascade.chooseFirstModel(route) : call.model;
    const progress = new CallProgress({call, model});
    const heldForMs = quarantine.remainingMs(call.fingerprint);
    if (heldForMs > 0)
      return this.final.refuseHeld(progress, caller, heldForMs);
    budgetOf(service).recordCall();
    urgentFirstOf(service).recordRequested(call.priority);
    for (;;) {
      const choice = this.placement.choose(progress);
      if (progress.withheld > 0) this.withheld.tell(progress);
      if (!choice) {
        const refusal = this.placement.refusalFor(progress);
        return this.final.refuse(progress, caller, refusal);
      }
      const outcome = await this.attempt(progress, choice, caller, signal);
      progress.reservation?.release();
      progress.reservation = undefined;
      progress.note(choice.runner, outcome);
      if (outcome.kind === AttemptKind.ANSWERED)
        return this.final.answer(progress, outcome, choice.runner, caller);
      if (outcome.kind === AttemptKind.ENDED || signal.aborted)
        return this.final.finish(progress, caller, String(signal.reason));
      if (!this.repeats.mayRepeat(progress, outcome))
        return this.final.finish(progress, caller, outcome.reason);
    }
  }

  private async attempt(
    progress: CallProgress,
    choice: RunnerChoice,
    caller: CallerAnswer,
    signal: AbortSignal,
  ): Promise<AttemptOutcome> {
    const {clock} = this.options;
    const {call} = progress;
    const startedAt = clock.now();
    const expectedMs = expectedFirstMs(choice);
    const isUnloaded = choice.waitMs < choice.workMs * MAX_OTHER_WORK;
    this.noteChoice(progress, choice);
    const eventsBefore = caller.events;
    const attempt = this.prepare(progress, choice, caller, signal);
    const endWatch = this.lessons.begin(progress, choice, () =>
      attempt.firstAt === undefined ? clock.now() - startedAt : undefined,
    );
    const outcome = await attempt.run();
    endWatch();
    if (caller.hasBegun) progress.begunBy ??= choice.runner.entry.version;
    const firstMs =
      attempt.firstAt === undefined ? undefined : attempt.firstAt - startedAt;
    const {wasQuiet} = attempt;
    const forMs = clock.now() - startedAt;
    const events = caller.events - eventsBefore;
    const eventMs = meanEventMs(forMs, firstMs, events);
    const timing = {firstMs, eventMs, forMs, expectedMs, isUnloaded, wasQuiet};
    this.lessons.learn(progress, choice, outcome, timing);
    this.requestLessons.learn(call, choice.runner, attempt, outcome);
    this.options.log.write('attempt_ended', {
      request: call.id,
      attempt: progress.tries + 1,
      runner: choice.runner.entry.id,
      outcome: outcome.kind,
      reason: outcome.reason,
      status: outcome.status,
      begun: attempt.hasHead,
      confidence: outcome.confidence,
      namedLimit: attempt.namedLimit,
      firstMs: firstMs === undefined ? undefined : Math.round(firstMs),
      lastEvent: caller.events > eventsBefore ? caller.lastEventId : undefined,
      forMs: Math.round(forMs),
    });
    return outcome;
  }

  private prepare(
    progress: CallProgress,
    choice: RunnerChoice,
    caller: CallerAnswer,
    signal: AbortSignal,
  ): Attempt {
    const {clock, names} = this.options;
    const {call, model} = progress;
    return new Attempt({
      clock,
      names,
      admit: () => this.admit(progress, choice.runner),
      runnerHeaders: this.runnerHeaders,
      call,
      choice,
      model,
      caller,
      signal,
      isGoodEnough: confidence => this.judge.isUsed(progress, confidence),
      hasOtherRunner: () => this.repeats.canMove(progress, choice.runner),
    });
  }

  /** Decides right before a request is sent. @returns why it must not be; undefined if it may, and then it counts as sent */
  private admit(progress: CallProgress, runner: Runner): string | undefined {
    const {gate, urgentFirstOf} = this.options;
    const {service, priority} = progress.call;
    const refusal = gate.admit(runner) ?? this.repeats.pay(progress);
    if (refusal === undefined) urgentFirstOf(service).recordSent(priority);
    return refusal;
  }

  private noteChoice(progress: CallProgress, choice: RunnerChoice): void {
    const {log, metrics, rollouts, prefixes, sessions} = this.options;
    const {call, model} = progress;
    const {entry} = choice.runner;
    if (call.prompt && model !== undefined)
      prefixes.note(entry.id, model, call.prompt);
    if (call.session !== undefined && progress.begunBy === undefined)
      sessions.set(call.session, entry.version);
    const hasSession = call.session !== undefined;
    const {wish, isGranted, known = 0} = progress.version ?? {};
    metrics.versionChoices.inc({
      service: entry.service,
      reason: wish?.reason,
      isGranted: String(isGranted),
    });
    log.write('runner_chosen', {
      request: call.id,
      attempt: progress.tries + 1,
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
