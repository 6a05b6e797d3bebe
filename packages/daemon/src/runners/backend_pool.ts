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
import type {SlotRequest} from './slot_request.js';
import type {SlotReservation} from './slot_reservation.js';
import {AttemptResult} from './attempt_result.js';
import type {PoolSettings} from './pool_settings.js';
import type {Backend} from './backend.js';
import {BackendState} from './backend_state.js';

interface Options<T extends Backend> {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly settings: PoolSettings;
  readonly discipline: QueueDiscipline;
  readonly loadBalancer: LoadBalancer;
  readonly crossingPolicy: CrossingPolicy;
  /** Whether operators or the platform took this runner out of service. */
  readonly isDrained: (target: T) => boolean;
}

const ESTIMATE_WINDOW_MS = 5_000;
const RETRY_AFTER_MS = 2_000;

/** The runners of one kind, and the queue of requests that wait for a place at one. */
export class BackendPool<T extends Backend> {
  private readonly states = new Map<string, BackendState<T>>();
  private readonly queue: AdmissionQueue<SlotRequest, SlotReservation<T>>;
  private readonly waitEstimator: QueueWaitEstimator;

  constructor(private readonly options: Options<T>) {
    const {clock, discipline: order, settings} = options;
    this.queue = new AdmissionQueue({
      clock,
      discipline: order,
      maxPerClass: settings.maxQueuedPerClass,
    });
    this.waitEstimator = new QueueWaitEstimator({
      clock,
      windowMs: ESTIMATE_WINDOW_MS,
    });
  }

  /** @param offers What the runner serves until it reports. */
  add(target: T, offers: readonly string[]): void {
    const {clock, random, settings} = this.options;
    this.states.set(
      target.id,
      new BackendState({
        backend: target,
        clock,
        random,
        settings,
        initialVersions: offers,
      }),
    );
  }

  listStates(): BackendState<T>[] {
    return [...this.states.values()];
  }

  /** Whether a fit runner in reach has the version. */
  canServe(version: string): boolean {
    return this.listUsable(version).length > 0;
  }

  get queueLength(): number {
    return this.queue.length;
  }

  /** Requests in progress, by the runner's place. */
  countRunningByPlace(): Record<string, number> {
    const running: Record<string, number> = {};
    for (const {backend: target, inFlight} of this.states.values()) {
      if (inFlight > 0)
        running[target.place] = (running[target.place] ?? 0) + inFlight;
    }
    return running;
  }

  /** Waits for a place at a fit runner. A rejection means that nothing was dispatched. */
  acquire(
    demand: SlotRequest,
    signal: AbortSignal,
  ): Promise<SlotReservation<T>> {
    const late = this.checkDeadline(demand);
    if (late) return Promise.reject(late);
    const reservation = this.queue.enqueue(demand, signal);
    this.dispatchQueued();
    return reservation;
  }

  /** Offers free places to the queue; call it when something changed. */
  dispatchQueued(): void {
    const full = new Set<string>();
    this.queue.admit(demand => {
      const key = `${demand.version} ${demand.places.join(' ')} ${demand.allowsCrossing}`;
      if (full.has(key)) return undefined;
      const result = demand.revalidate() ?? this.tryReserve(demand);
      if (result === undefined) full.add(key);
      return result;
    });
  }

  private checkDeadline(demand: SlotRequest): Problem | undefined {
    const wait = this.waitEstimator.estimateWaitMs(
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

  private tryReserve(
    demand: SlotRequest,
  ): SlotReservation<T> | Problem | undefined {
    const usableStates = this.listUsable(demand.version);
    if (usableStates.length === 0) return createNoRunnerProblem(demand.version);
    const inPlace =
      demand.places
        .map(place =>
          usableStates.filter(state => state.backend.place === place),
        )
        .find(group => group.length > 0) ?? [];
    const free = this.filterWithCapacity(inPlace, demand);
    const candidates = this.mayCross(demand, inPlace, usableStates)
      ? [
          ...free,
          ...this.filterWithCapacity(
            usableStates.filter(state => !inPlace.includes(state)),
            demand,
          ),
        ]
      : free;
    if (inPlace.length === 0 && !demand.allowsCrossing)
      return createNoRunnerProblem(demand.version);
    const chosen = this.options.loadBalancer.choose(
      candidates.map(state => state.createView()),
      {place: demand.places[0], prefixes: demand.prefixes},
    );
    return chosen && this.reserve(this.states.get(chosen.id)!, demand);
  }

  /** Runners that carry the version; the ejected ones too when there would be too few left. */
  private listUsable(version: string): BackendState<T>[] {
    const carrying = this.listStates().filter(
      state =>
        state.servesVersion(version) && !this.options.isDrained(state.backend),
    );
    const fit = carrying.filter(state => state.isHealthy());
    const least = Math.ceil(
      carrying.length * (1 - this.options.settings.maxEjectedShare),
    );
    if (fit.length >= least) return fit;
    const back = carrying.filter(
      state => !state.isHealthy() && state.health.isEjected(),
    );
    return [...fit, ...back.slice(0, least - fit.length)];
  }

  private filterWithCapacity(
    states: readonly BackendState<T>[],
    demand: SlotRequest,
  ): BackendState<T>[] {
    const free = states.filter(state => state.hasCapacity());
    const untried = free.filter(
      state => !demand.avoidedIds.has(state.backend.id),
    );
    return untried.length > 0 ? untried : free;
  }

  private mayCross(
    demand: SlotRequest,
    inPlace: readonly BackendState<T>[],
    usable: readonly BackendState<T>[],
  ): boolean {
    if (!demand.allowsCrossing) return false;
    const others = usable.filter(state => !inPlace.includes(state));
    return (
      others.length > 0 &&
      this.options.crossingPolicy.mayCross(
        demand.places[0],
        computeLoadPerSlot(inPlace),
        computeLoadPerSlot(others),
      )
    );
  }

  private reserve(
    state: BackendState<T>,
    demand: SlotRequest,
  ): SlotReservation<T> {
    const {clock} = this.options;
    const startedAt = clock.now();
    let released = false;
    state.inFlight++;
    state.lastDispatchedAt = startedAt;
    state.prefixes.recordSent(demand.prefixes);
    this.waitEstimator.recordDeparture();
    return {
      backend: state.backend,
      isInOtherPlace: state.backend.place !== demand.places[0],
      release: result => {
        if (released) return;
        released = true;
        this.recordResult(state, result, clock.now() - startedAt);
      },
    };
  }

  private recordResult(
    state: BackendState<T>,
    result: AttemptResult,
    ms: number,
  ): void {
    if (result === AttemptResult.OK) {
      state.health.recordSuccess();
      state.limit.recordSuccess(state.inFlight);
      state.recordServiceTime(ms);
    }
    if (result === AttemptResult.FAILED) state.health.recordFailure();
    if (result === AttemptResult.BUSY) state.limit.recordOverload();
    state.inFlight--;
    this.dispatchQueued();
  }
}

function computeLoadPerSlot<T extends Backend>(
  states: readonly BackendState<T>[],
): number {
  if (states.length === 0) return Infinity;
  const views = states.map(state => state.createView());
  const load = views.reduce((sum, view) => sum + view.load, 0);
  return load / views.reduce((sum, view) => sum + view.slots, 0);
}

function createNoRunnerProblem(version: string): Problem {
  return new Problem({
    kind: ProblemKind.NO_RUNNER,
    what: `no runner in reach carries ${version}`,
    remedy: 'come back after the time in Retry-After, or name another model',
    retryAfterMs: RETRY_AFTER_MS,
  });
}
