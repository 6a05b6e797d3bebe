import {
  CallKind,
  CascadeRule,
  isRepeatable,
  RetryBudget,
  RolloutPhase,
} from '@bayspool/decisions/calls';
import type {SessionVersions} from '@bayspool/decisions/calls';
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
import {Attempt} from './attempt.js';
import {AttemptKind} from './attempt_kind.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {CallerAnswer} from './caller_answer.js';
import {CallProgress} from './call_progress.js';
import type {HeaderNames} from './header_names.js';
import type {IncomingCall} from './incoming_call.js';
import {chooseRetryAfter} from './retry_after.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly names: HeaderNames;
  readonly directory: RunnerDirectory;
  readonly rollouts: RolloutBook;
  readonly sessions: SessionVersions;
  readonly chooser: RunnerChooser;
  readonly prefixes: PrefixBook;
  readonly rates: ReadingRates;
  readonly cascade: CascadeRule;
  /** The shortest latency target of a service's routes, in ms. */
  readonly targetOf: (service: string) => number;
  /** The retry budget of a service. */
  readonly budgetOf: (service: string) => RetryBudget;
}

/** What is said to a caller when nothing else can be. */
const STATUS = {BAD_GATEWAY: 502, UNAVAILABLE: 503, GATEWAY_TIMEOUT: 504};
/** Time under which another attempt cannot bring an answer, in ms. */
const MIN_LEFT_MS = 30;
/** Attempts that were not run do not count as such; this bounds them. */
const MAX_TRIES = 10;
/** Weight of a runner's silence to a call's end among its failures: enough to eject it. */
const SILENT_WEIGHT = 2.5;
/** Share of other work beside its own with which a prompt's time still tells the engine's rate. */
const MAX_OTHER_WORK = 0.3;
/** Fixed part of the time to a first event or answer, in ms, beside reading and waiting. */
const BASE_FIRST_MS = 30;

/** How long an attempt took to its first byte, in ms, and what was expected. */
interface Timing {
  readonly firstMs?: number;
  readonly expectedMs: number;
  /** Whether the runner had little else to read. */
  readonly isUnloaded: boolean;
  /** Whether the runner had fallen silent. */
  readonly wasQuiet: boolean;
}

/** Brings a call to a runner, and to further ones where that is allowed and helps. */
export class CallForwarder {
  constructor(private readonly options: Options) {}

  async forward(
    call: IncomingCall,
    caller: CallerAnswer,
    signal: AbortSignal,
  ): Promise<void> {
    const {cascade, budgetOf} = this.options;
    budgetOf(call.service).countFirst();
    const {route} = call;
    const model =
      route.models.length > 0 ? cascade.firstModel(route) : call.model;
    const progress = new CallProgress({call, model});
    for (;;) {
      const choice = this.choose(progress);
      if (!choice) return this.finish(progress, caller, 'no runner');
      const outcome = await this.attempt(progress, choice, caller, signal);
      progress.note(choice.runner, outcome);
      if (outcome.kind === AttemptKind.ANSWERED)
        return this.answer(progress, outcome, choice.runner, caller);
      if (outcome.kind === AttemptKind.ENDED || signal.aborted)
        return this.finish(progress, caller, String(signal.reason));
      if (!this.mayRepeat(progress, outcome))
        return this.finish(progress, caller, outcome.reason);
    }
  }

  private choose(
    progress: CallProgress,
    model = progress.model,
  ): RunnerChoice | undefined {
    const {directory, rollouts, chooser} = this.options;
    const {call, tried} = progress;
    const takers = directory.takersOf(call.service);
    const wish = rollouts.wishFor({
      service: call.service,
      key: call.id,
      session: call.session,
      failedVersion: progress.failedVersion,
    });
    const held = directory.unexplainedVersions(call.service);
    const wished = takers.filter(({entry: {version}}) =>
      wish.only !== undefined
        ? version === wish.only
        : version !== wish.not && !held.has(version),
    );
    const able = wished.length > 0 ? wished : takers;
    const {prompt} = call;
    return chooser.choose({candidates: able, tried, model, prompt});
  }

  private async attempt(
    progress: CallProgress,
    choice: RunnerChoice,
    caller: CallerAnswer,
    signal: AbortSignal,
  ): Promise<AttemptOutcome> {
    const {clock, names, cascade} = this.options;
    const {call, model} = progress;
    const startedAt = clock.now();
    const expectedMs = BASE_FIRST_MS + choice.workMs + choice.waitMs;
    const isUnloaded = choice.waitMs < choice.workMs * MAX_OTHER_WORK;
    this.noteChoice(progress, choice);
    const eventsBefore = caller.events;
    const attempt = new Attempt({
      clock,
      names,
      call,
      choice,
      model,
      caller,
      signal,
      isGoodEnough: confidence =>
        model === undefined ||
        call.route.models.length === 0 ||
        !this.canEscalate(progress) ||
        cascade.isGoodEnough({
          route: call.route,
          model,
          confidence,
          pressure: this.pressure(progress),
        }),
      hasOtherRunner: () => this.canMove(progress, choice.runner),
    });
    const outcome = await attempt.run();
    const firstMs =
      attempt.firstAt === undefined ? undefined : attempt.firstAt - startedAt;
    const {wasQuiet} = attempt;
    const timing = {firstMs, expectedMs, isUnloaded, wasQuiet};
    this.learn(progress, choice, outcome, timing);
    this.options.log.write('attempt_ended', {
      request: call.id,
      attempt: progress.tries + 1,
      runner: choice.runner.entry.id,
      outcome: outcome.kind,
      reason: outcome.reason,
      status: outcome.status,
      confidence: outcome.confidence,
      lastEvent: caller.events > eventsBefore ? caller.lastEventId : undefined,
      forMs: Math.round(clock.now() - startedAt),
    });
    return outcome;
  }

  private noteChoice(progress: CallProgress, choice: RunnerChoice): void {
    const {log, directory, rollouts, prefixes, sessions} = this.options;
    const {call, model} = progress;
    const {entry} = choice.runner;
    if (call.prompt && model !== undefined)
      prefixes.note(entry.id, model, call.prompt);
    if (call.session !== undefined) sessions.set(call.session, entry.version);
    log.write('runner_chosen', {
      request: call.id,
      attempt: progress.tries + 1,
      runner: entry.id,
      service: entry.service,
      version: entry.version,
      model,
      running: choice.runner.totalRunning,
      pendingMs: Math.round(choice.runner.totalPendingMs),
      candidates: directory.takersOf(call.service).length,
      ejected: choice.ejected,
      reason: choice.reason,
      rolloutShare: rollouts.get(call.service)?.share,
    });
  }

  /** Takes the outcome into what is believed of the runner and its version. */
  private learn(
    progress: CallProgress,
    choice: RunnerChoice,
    outcome: AttemptOutcome,
    {firstMs, expectedMs, isUnloaded, wasQuiet}: Timing,
  ): void {
    const {metrics, rates, sessions} = this.options;
    const {call, model} = progress;
    const {runner} = choice;
    const service = call.service;
    metrics.attempts.inc({service, outcome: outcome.kind});
    if (call.session !== undefined)
      sessions.set(call.session, runner.entry.version);
    if (firstMs !== undefined && call.prompt) {
      runner.learnSlowness(firstMs, expectedMs);
      if (model !== undefined)
        rates.learn(model, choice.unreadTokens, firstMs, isUnloaded);
    } else if (firstMs !== undefined) {
      runner.learnSlowness(firstMs, call.route.latencyTargetMs / 2);
    }
    const hasFailed = isFailure(outcome.kind);
    if (outcome.kind === AttemptKind.ENDED) {
      // A runner that sent nothing until the time limit is as good as gone.
      if (wasQuiet)
        this.countFailure(runner, 'silent to the end', SILENT_WEIGHT);
      return;
    }
    if (outcome.kind === AttemptKind.NOT_RUN) {
      if (outcome.status === undefined && outcome.reason !== 'saturated')
        this.countFailure(runner, outcome.reason, 2);
      return;
    }
    if (hasFailed) this.countFailure(runner, outcome.reason, 1);
    else runner.health.countOk();
    this.noteEvidence(progress, runner, hasFailed, firstMs);
  }

  private noteEvidence(
    {call, model}: CallProgress,
    runner: Runner,
    hasFailed: boolean,
    firstMs: number | undefined,
  ): void {
    const rollout = this.options.rollouts.get(call.service);
    if (!rollout || rollout.phase !== RolloutPhase.ACTIVE) return;
    const isFresh = runner.entry.version === rollout.order.version;
    const cell = `${call.route.name}/${model ?? ''}`;
    rollout.evidence.note(cell, isFresh, hasFailed, firstMs);
  }

  private countFailure(runner: Runner, reason: string, weight: number): void {
    const {directory, log} = this.options;
    const {health, remote, entry} = runner;
    health.countFailure(weight);
    const others = directory
      .takersOf(entry.service)
      .filter(other => other !== runner);
    const ok = sum(others, ({ownLoad, remote: far}) => ownLoad.ok + far.ok);
    const failed = sum(
      others,
      ({ownLoad, remote: far}) => ownLoad.failed + far.failed,
    );
    const othersShare = failed / Math.max(1, ok + failed);
    const ownFailed = health.failedWeight;
    const forMs = health.ejectIfWorse(othersShare, remote.ok, remote.failed);
    if (forMs === undefined) return;
    log.write('runner_ejected', {
      runner: entry.id,
      service: entry.service,
      forMs,
      ownFailed: round(ownFailed),
      remoteFailed: round(remote.failed),
      othersShare: round(othersShare),
      reason,
    });
  }

  /** Whether the call may be sent once more after this outcome, and spends the budget for it. */
  private mayRepeat(progress: CallProgress, outcome: AttemptOutcome): boolean {
    const {clock, log, metrics, budgetOf} = this.options;
    const {call} = progress;
    const leftMs = call.deadlineAt - clock.now();
    const budget = budgetOf(call.service);
    const again =
      this.isRepeatAllowed(progress, outcome, leftMs) &&
      this.spend(progress, outcome, budget);
    log.write('retry_decided', {
      request: call.id,
      attempt: progress.tries,
      again,
      reason: outcome.reason,
      budgetLeft: round(budget.left),
      leftMs: Math.round(leftMs),
    });
    if (!again) return false;
    if (outcome.kind === AttemptKind.WEAK)
      progress.model = this.options.cascade.strongestModel(call.route);
    metrics.repeats.inc({service: call.service, reason: outcome.kind});
    return true;
  }

  private spend(
    progress: CallProgress,
    outcome: AttemptOutcome,
    budget: RetryBudget,
  ): boolean {
    // Nothing arrived at a runner whose connection did not come up.
    if (outcome.kind === AttemptKind.NOT_RUN && outcome.status === undefined)
      return true;
    if (budget.trySpend()) return true;
    const {id: request, service} = progress.call;
    this.options.log.write('budget_spent', {request, service});
    return false;
  }

  private isRepeatAllowed(
    progress: CallProgress,
    outcome: AttemptOutcome,
    leftMs: number,
  ): boolean {
    const {call} = progress;
    if (leftMs < MIN_LEFT_MS || progress.tries >= MAX_TRIES) return false;
    if (progress.sent >= call.route.attempts) return false;
    if (outcome.kind === AttemptKind.NOT_RUN) return true;
    if (outcome.kind === AttemptKind.WEAK) return true;
    return isRepeatable(call.route.kind);
  }

  /**
   * Work that waits at the best engine for the largest model over the shortest latency target of the
   * service: engines are shared by all its routes.
   */
  private pressure(progress: CallProgress): number {
    const {cascade, targetOf} = this.options;
    const {call} = progress;
    const model = cascade.strongestModel(call.route);
    const choice = this.choose(progress, model);
    if (!choice) return 1;
    return choice.waitMs / targetOf(call.service);
  }

  /** Whether an answer of a small model may be dropped for one of the largest. */
  private canEscalate(progress: CallProgress): boolean {
    const {clock, budgetOf} = this.options;
    const {call} = progress;
    if (call.route.kind !== CallKind.RESUMABLE) return false;
    if (progress.sent + 1 >= call.route.attempts) return false;
    if (call.deadlineAt - clock.now() < MIN_LEFT_MS) return false;
    return budgetOf(call.service).left >= 1;
  }

  private canMove(progress: CallProgress, from: Runner): boolean {
    const {call} = progress;
    if (progress.sent + 1 >= call.route.attempts) return false;
    if (this.options.budgetOf(call.service).left < 1) return false;
    return this.options.directory
      .takersOf(call.service)
      .some(
        runner =>
          runner !== from && !runner.health.isEjected && !runner.isQuiet,
      );
  }

  private answer(
    progress: CallProgress,
    outcome: AttemptOutcome,
    runner: Runner,
    caller: CallerAnswer,
  ): void {
    const {clock, log, metrics} = this.options;
    const {call} = progress;
    if (outcome.answer && !caller.isClosed) caller.sendWhole(outcome.answer);
    const route = call.route.name;
    const firstAt = caller.firstByteAt ?? clock.now();
    const forMs = clock.now() - call.acceptedAt;
    metrics.requests.inc({route, outcome: 'answered', reason: ''});
    metrics.firstSeconds.observe({route}, (firstAt - call.acceptedAt) / 1000);
    metrics.totalSeconds.observe({route}, forMs / 1000);
    log.write('request_answered', {
      request: call.id,
      status: outcome.status ?? 0,
      attempts: progress.tries,
      runner: runner.entry.id,
      events: caller.events || undefined,
      firstMs: Math.round(firstAt - call.acceptedAt),
      longestPauseMs: caller.events
        ? Math.round(caller.longestPauseMs)
        : undefined,
      forMs: Math.round(forMs),
    });
  }

  /** Gives the final answer of a call that no runner answered well. */
  private finish(
    progress: CallProgress,
    caller: CallerAnswer,
    reason: string,
  ): void {
    const {clock, log, metrics} = this.options;
    const {call} = progress;
    const forMs = Math.round(clock.now() - call.acceptedAt);
    const attempts = progress.tries;
    const request = call.id;
    const route = call.route.name;
    const why = reasonLabel(reason);
    if (reason === 'caller left') {
      metrics.requests.inc({route, outcome: 'left', reason: why});
      log.write('caller_left', {request, attempts, forMs});
      return;
    }
    if (caller.hasBegun) {
      caller.cut();
      metrics.requests.inc({route, outcome: 'cut', reason: why});
      const lastEvent = caller.lastEventId;
      log.write('request_cut', {request, reason, attempts, lastEvent, forMs});
      return;
    }
    const failed = progress.lastError;
    if (failed && !caller.isClosed) caller.sendWhole(failed);
    const own = this.ownAnswer(progress, reason);
    if (!failed && !caller.isClosed) caller.sendOwn(own);
    metrics.requests.inc({route, outcome: 'failed', reason: why});
    log.write('request_failed', {
      request,
      status: failed?.status ?? own.status,
      reason,
      attempts,
      hasRun: progress.mayHaveRun ? 'maybe' : 'no',
      retryAfterMs: failed ? undefined : own.retryAfterMs,
      forMs,
    });
  }

  private ownAnswer(
    progress: CallProgress,
    reason: string,
  ): {status: number; reason: string; retryAfterMs?: number} {
    if (!progress.mayHaveRun) {
      const retryAfterMs = Math.round(chooseRetryAfter(this.options.random));
      return {status: STATUS.UNAVAILABLE, reason, retryAfterMs};
    }
    const status =
      reason === 'time limit' ? STATUS.GATEWAY_TIMEOUT : STATUS.BAD_GATEWAY;
    return {status, reason};
  }
}

function isFailure(kind: AttemptKind): boolean {
  return kind === AttemptKind.RUNNER_ERROR || kind === AttemptKind.BROKEN;
}

function sum(runners: Runner[], read: (runner: Runner) => number): number {
  return runners.reduce((total, runner) => total + read(runner), 0);
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

/** Reasons as metric labels: a bounded set, without numbers. */
function reasonLabel(reason: string): string {
  return reason.replace(/[^a-zA-Z ]+/g, '').trim();
}
