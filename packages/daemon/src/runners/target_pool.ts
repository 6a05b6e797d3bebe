import {
  AdmissionQueue,
  CrossingPolicy,
  QueueWaitEstimator,
  type QueueDiscipline,
  type LoadBalancer,
} from '@bayspool/decisions';
import {
  Problem,
  ProblemKind,
  type Clock,
  type RandomSource,
} from '@bayspool/kernel';
import type {Demand} from './demand.js';
import type {Grant} from './grant.js';
import {GrantResult} from './grant_result.js';
import type {PoolSettings} from './pool_settings.js';
import type {Target} from './target.js';
import {TargetState} from './target_state.js';

interface Options<T extends Target> {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly settings: PoolSettings;
  readonly order: QueueDiscipline;
  readonly choice: LoadBalancer;
  readonly crossing: CrossingPolicy;
  /** Whether operators or the platform took this runner out of service. */
  readonly isDrained: (target: T) => boolean;
}

const ESTIMATE_WINDOW_MS = 5_000;
const RETRY_AFTER_MS = 2_000;

/** The runners of one kind, and the queue of requests that wait for a place at one. */
export class TargetPool<T extends Target> {
  private readonly states = new Map<string, TargetState<T>>();
  private readonly queue: AdmissionQueue<Demand, Grant<T>>;
  private readonly estimate: QueueWaitEstimator;

  constructor(private readonly options: Options<T>) {
    const {clock, order, settings} = options;
    this.queue = new AdmissionQueue({
      clock,
      discipline: order,
      maxPerClass: settings.queueMost,
    });
    this.estimate = new QueueWaitEstimator({
      clock,
      windowMs: ESTIMATE_WINDOW_MS,
    });
  }

  /** @param offers What the runner serves until it reports. */
  add(target: T, offers: readonly string[]): void {
    const {clock, random, settings} = this.options;
    this.states.set(
      target.id,
      new TargetState({target, clock, random, settings, offers}),
    );
  }

  all(): TargetState<T>[] {
    return [...this.states.values()];
  }

  /** Whether a fit runner in reach has the version. */
  carries(version: string): boolean {
    return this.usable(version).length > 0;
  }

  get waiting(): number {
    return this.queue.length;
  }

  /** Requests in progress, by the runner's place. */
  running(): Record<string, number> {
    const running: Record<string, number> = {};
    for (const {target, inFlight} of this.states.values()) {
      if (inFlight > 0)
        running[target.place] = (running[target.place] ?? 0) + inFlight;
    }
    return running;
  }

  /** Waits for a place at a fit runner. A rejection means that nothing was dispatched. */
  acquire(demand: Demand, signal: AbortSignal): Promise<Grant<T>> {
    const late = this.refuseHopeless(demand);
    if (late) return Promise.reject(late);
    const grant = this.queue.enqueue(demand, signal);
    this.serve();
    return grant;
  }

  /** Offers free places to the queue; call it when something changed. */
  serve(): void {
    const full = new Set<string>();
    this.queue.admit(demand => {
      const key = `${demand.version} ${demand.places.join(' ')} ${demand.crossing}`;
      if (full.has(key)) return undefined;
      const result = demand.recheck() ?? this.take(demand);
      if (result === undefined) full.add(key);
      return result;
    });
  }

  private refuseHopeless(demand: Demand): Problem | undefined {
    const wait = this.estimate.estimateWaitMs(
      this.queue.countWaiting(demand.priority),
    );
    if (this.options.clock.now() + wait < demand.deadlineAt) return undefined;
    return new Problem({
      kind: ProblemKind.DEADLINE,
      what: 'the wait for a runner would pass the deadline',
      remedy:
        'come back after the time in Retry-After, or allow more time with Bayspool-Deadline-Ms',
      retryAfterMs: Math.max(RETRY_AFTER_MS, wait / 2),
    });
  }

  private take(demand: Demand): Grant<T> | Problem | undefined {
    const usable = this.usable(demand.version);
    if (usable.length === 0) return noRunner(demand.version);
    const inPlace =
      demand.places
        .map(place => usable.filter(state => state.target.place === place))
        .find(group => group.length > 0) ?? [];
    const free = this.withRoom(inPlace, demand);
    const candidates = this.mayCross(demand, inPlace, usable)
      ? [
          ...free,
          ...this.withRoom(
            usable.filter(state => !inPlace.includes(state)),
            demand,
          ),
        ]
      : free;
    if (inPlace.length === 0 && !demand.crossing)
      return noRunner(demand.version);
    const chosen = this.options.choice.choose(
      candidates.map(state => state.view()),
      {place: demand.places[0], prefixes: demand.prefixes},
    );
    return chosen && this.grant(this.states.get(chosen.id)!, demand);
  }

  /** Runners that carry the version; the ejected ones too when there would be too few left. */
  private usable(version: string): TargetState<T>[] {
    const carrying = this.all().filter(
      state =>
        state.offersVersion(version) && !this.options.isDrained(state.target),
    );
    const fit = carrying.filter(state => state.isFit());
    const least = Math.ceil(
      carrying.length * (1 - this.options.settings.ejectedPartMost),
    );
    if (fit.length >= least) return fit;
    const back = carrying.filter(
      state => !state.isFit() && state.health.isEjected(),
    );
    return [...fit, ...back.slice(0, least - fit.length)];
  }

  private withRoom(
    states: readonly TargetState<T>[],
    demand: Demand,
  ): TargetState<T>[] {
    const free = states.filter(state => state.hasRoom());
    const untried = free.filter(state => !demand.avoid.has(state.target.id));
    return untried.length > 0 ? untried : free;
  }

  private mayCross(
    demand: Demand,
    inPlace: readonly TargetState<T>[],
    usable: readonly TargetState<T>[],
  ): boolean {
    if (!demand.crossing) return false;
    const others = usable.filter(state => !inPlace.includes(state));
    return (
      others.length > 0 &&
      this.options.crossing.mayCross(
        demand.places[0],
        loadOf(inPlace),
        loadOf(others),
      )
    );
  }

  private grant(state: TargetState<T>, demand: Demand): Grant<T> {
    const {clock} = this.options;
    const startedAt = clock.now();
    let released = false;
    state.inFlight++;
    state.usedAt = startedAt;
    state.prefixes.recordSent(demand.prefixes);
    this.estimate.recordDeparture();
    return {
      target: state.target,
      crossed: state.target.place !== demand.places[0],
      release: result => {
        if (released) return;
        released = true;
        this.settle(state, result, clock.now() - startedAt);
      },
    };
  }

  private settle(state: TargetState<T>, result: GrantResult, ms: number): void {
    if (result === GrantResult.OK) {
      state.health.recordSuccess();
      state.limit.recordSuccess(state.inFlight);
      state.served(ms);
    }
    if (result === GrantResult.FAILED) state.health.recordFailure();
    if (result === GrantResult.BUSY) state.limit.recordOverload();
    state.inFlight--;
    this.serve();
  }
}

function loadOf<T extends Target>(states: readonly TargetState<T>[]): number {
  if (states.length === 0) return Infinity;
  const views = states.map(state => state.view());
  const load = views.reduce((sum, view) => sum + view.load, 0);
  return load / views.reduce((sum, view) => sum + view.slots, 0);
}

function noRunner(version: string): Problem {
  return new Problem({
    kind: ProblemKind.NO_RUNNER,
    what: `no runner in reach carries ${version}`,
    remedy: 'come back after the time in Retry-After, or name another model',
    retryAfterMs: RETRY_AFTER_MS,
  });
}
