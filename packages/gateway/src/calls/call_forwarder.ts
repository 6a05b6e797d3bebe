import {RolloutPhase, watchedRunners} from '@bayspool/decisions/calls';
import type {
  CascadeRule,
  Quarantine,
  RetryBudget,
  SessionVersions,
} from '@bayspool/decisions/calls';
import type {Clock, RandomSource} from '@bayspool/kernel';
import type {RunnerDirectory} from '../beliefs/runner_directory.js';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {RolloutBook} from '../rollouts/rollout_book.js';
import {VersionReason} from '../rollouts/version_reason.js';
import type {VersionWish} from '../rollouts/version_wish.js';
import type {PrefixBook} from '../runners/prefix_book.js';
import type {ReadingRates} from '../runners/reading_rates.js';
import type {Runner} from '../runners/runner.js';
import type {RunnerChoice} from '../runners/runner_choice.js';
import type {RunnerGate} from '../runners/runner_gate.js';
import type {RunnerChooser} from '../runners/runner_chooser.js';
import {AnswerJudge} from './answer_judge.js';
import {Attempt} from './attempt.js';
import {AttemptKind} from './attempt_kind.js';
import {AttemptLessons} from './attempt_lessons.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {CallCandidates} from './call_candidates.js';
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
  readonly cascade: CascadeRule;
  /** Which requests are held back, as runners ended under them. */
  readonly quarantine: Quarantine;
  /** The shortest latency target of a service's routes, in ms. */
  readonly targetOf: (service: string) => number;
  /** How old what other hosts told of loads is, in ms. */
  readonly loadsAgeMs: () => number;
  /** The retry budget of a service. */
  readonly budgetOf: (service: string) => RetryBudget;
}

/** Runners of a begun answer's version that may be out of reach before the version counts as gone. */
const MAX_UNREACHABLE = 3;
/** Share of other work beside its own with which a prompt's time still tells the engine's rate. */
const MAX_OTHER_WORK = 0.3;

/** Brings a call to a runner, and to further ones where that is allowed and helps. */
export class CallForwarder {
  private readonly lessons: AttemptLessons;
  private readonly requestLessons: RequestLessons;
  private readonly repeats: RepeatRule;
  private readonly judge: AnswerJudge;
  private readonly final: FinalAnswer;
  private readonly runnerHeaders: RunnerHeaders;

  constructor(private readonly options: Options) {
    const {clock, random, log, metrics, directory, candidates} = options;
    const {rollouts, sessions, rates, cascade, quarantine, budgetOf} = options;
    this.lessons = new AttemptLessons({
      log,
      metrics,
      directory,
      rollouts,
      sessions,
      rates,
    });
    this.requestLessons = new RequestLessons({log, quarantine});
    this.repeats = new RepeatRule({
      clock,
      log,
      metrics,
      candidates,
      cascade,
      quarantine,
      budgetOf,
    });
    this.judge = new AnswerJudge({
      ...options,
      repeats: this.repeats,
      choose: (progress, model) => this.choose(progress, model),
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
    const {cascade, budgetOf, quarantine} = this.options;
    const {route} = call;
    const model =
      route.models.length > 0 ? cascade.firstModel(route) : call.model;
    const progress = new CallProgress({call, model});
    const heldForMs = quarantine.heldForMs(call.fingerprint);
    if (heldForMs > 0)
      return this.final.refuseHeld(progress, caller, heldForMs);
    budgetOf(call.service).countFirst();
    for (;;) {
      const choice = this.choose(progress);
      if (!choice) {
        const reason = this.options.candidates.reasonForNone(call);
        return this.final.finish(progress, caller, reason);
      }
      const outcome = await this.attempt(progress, choice, caller, signal);
      progress.note(choice.runner, outcome);
      if (outcome.kind === AttemptKind.ANSWERED)
        return this.final.answer(progress, outcome, choice.runner, caller);
      if (outcome.kind === AttemptKind.ENDED || signal.aborted)
        return this.final.finish(progress, caller, String(signal.reason));
      if (!this.repeats.mayRepeat(progress, outcome))
        return this.final.finish(progress, caller, outcome.reason);
    }
  }

  private choose(
    progress: CallProgress,
    model = progress.model,
  ): RunnerChoice | undefined {
    const {candidates: all, chooser, gate} = this.options;
    const {call, tried} = progress;
    const known = all.of(call);
    const takers = gate.openOf(known);
    const wish = this.wishFor(progress, known);
    const wished = this.wishedOf(takers, wish, call.service);
    const isGranted = wished.length > 0;
    progress.version = {wish, isGranted};
    // Without a runner of a wished version any will do, but for an answer that has begun.
    const isBound = wish.reason === VersionReason.BEGUN;
    const allowed = isGranted || isBound ? wished : takers;
    const watched = this.watchedOf(takers, allowed, call.service);
    progress.isConcentrated = watched.length < allowed.length;
    const candidates = this.preferIdle(progress, watched);
    const {prompt, body} = call;
    const bodyBytes = body.length;
    return chooser.choose({candidates, tried, bodyBytes, model, prompt});
  }

  /**
   * A request under which a runner ended goes where nothing else runs, if it can: what it may end there is only itself,
   * and whether it was the cause is known then.
   */
  private preferIdle(
    {call, tried}: CallProgress,
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
  private wishFor(
    progress: CallProgress,
    takers: readonly Runner[],
  ): VersionWish {
    const {call, tried, begunBy, failedVersions} = progress;
    if (begunBy !== undefined && this.hasRunnerOf(begunBy, call, takers)) {
      if (progress.unreachable < MAX_UNREACHABLE)
        return {only: begunBy, reason: VersionReason.BEGUN};
      return {not: begunBy, reason: VersionReason.OUT_OF_REACH};
    }
    return this.options.rollouts.wishFor({
      service: call.service,
      key: call.id,
      session: call.session,
      failedVersions,
      hasUntried: version =>
        takers.some(
          ({entry}) => entry.version === version && !tried.has(entry.id),
        ),
    });
  }

  /** The end of a roll-out stops the runners of the old version at once; their entries go some seconds later. */
  private hasRunnerOf(
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
  private wishedOf(
    takers: readonly Runner[],
    {only, not}: VersionWish,
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
  private watchedOf(
    takers: readonly Runner[],
    allowed: readonly Runner[],
    service: string,
  ): readonly Runner[] {
    const rollout = this.options.rollouts.get(service);
    if (!rollout?.isWatched) return allowed;
    const {version} = rollout.order;
    if (allowed.some(({entry}) => entry.version !== version)) return allowed;
    const old = takers.filter(({entry}) => entry.version !== version);
    const fresh = allowed.filter(({health}) => !health.isEjected);
    if (old.length === 0 || fresh.length === 0) return allowed;
    const watched = watchedRunners({fresh, old});
    return watched.length < fresh.length ? watched : allowed;
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
    const {clock, names, gate} = this.options;
    const {call, model} = progress;
    return new Attempt({
      clock,
      names,
      admit: () => gate.admit(choice.runner),
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

  private noteChoice(progress: CallProgress, choice: RunnerChoice): void {
    const {log, metrics, candidates, rollouts, prefixes, sessions} =
      this.options;
    const {call, model} = progress;
    const {entry} = choice.runner;
    if (call.prompt && model !== undefined)
      prefixes.note(entry.id, model, call.prompt);
    if (call.session !== undefined && progress.begunBy === undefined)
      sessions.set(call.session, entry.version);
    const hasSession = call.session !== undefined;
    const {wish, isGranted} = progress.version ?? {};
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
      candidates: candidates.of(call).length,
      ejected: choice.ejected,
      reason: choice.reason,
      rolloutShare: rollouts.get(call.service)?.shareOf({hasSession}),
    });
  }
}
