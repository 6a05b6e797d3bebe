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
  readonly isDrained: (backend: T) => boolean;
}

const ESTIMATE_WINDOW_MS = 5_000;
const RETRY_AFTER_MS = 2_000;

/** The runners of one kind, and the queue of requests that wait for a free slot on one of them. */
export class BackendPool<T extends Backend> {
  private readonly states = new Map<string, BackendState<T>>();
  private readonly queue: AdmissionQueue<SlotRequest, SlotReservation<T>>;
  private readonly waitEstimator: QueueWaitEstimator;

  constructor(private readonly options: Options<T>) {
    const {clock, discipline, settings} = options;
    this.queue = new AdmissionQueue({
      clock,
      discipline,
      maxPerClass: settings.maxQueuedPerClass,
    });
    this.waitEstimator = new QueueWaitEstimator({
      clock,
      windowMs: ESTIMATE_WINDOW_MS,
    });
  }

  /** @param initialVersions What the runner serves until its first report. */
  add(backend: T, initialVersions: readonly string[]): void {
    const {clock, random, settings} = this.options;
    this.states.set(
      backend.id,
      new BackendState({
        backend,
        clock,
        random,
        settings,
        initialVersions,
      }),
    );
  }

  listStates(): BackendState<T>[] {
    return [...this.states.values()];
  }

  /** Whether a usable runner serves the version. */
  canServe(version: string): boolean {
    return this.listUsable(version).length > 0;
  }

  get queueLength(): number {
    return this.queue.length;
  }

  /** Counts the requests in flight by the place of their runner. */
  countRunningByPlace(): Record<string, number> {
    const running: Record<string, number> = {};
    for (const {backend, inFlight} of this.states.values()) {
      if (inFlight > 0)
        running[backend.place] = (running[backend.place] ?? 0) + inFlight;
    }
    return running;
  }

  /** Waits for a free slot on a usable runner. A rejection means that nothing was dispatched. */
  acquire(
    request: SlotRequest,
    signal: AbortSignal,
  ): Promise<SlotReservation<T>> {
    const problem = this.checkDeadline(request);
    if (problem) return Promise.reject(problem);
    const reservation = this.queue.enqueue(request, signal);
    this.dispatchQueued();
    return reservation;
  }

  /** Dispatches queued requests to free slots; must be called whenever capacity or configuration changes. */
  dispatchQueued(): void {
    const full = new Set<string>();
    this.queue.admit(request => {
      const key = createReachKey(request);
      if (full.has(key)) return undefined;
      const result = request.revalidate() ?? this.tryReserve(request);
      if (result === undefined) full.add(key);
      return result;
    });
  }

  private checkDeadline(request: SlotRequest): Problem | undefined {
    const wait = this.waitEstimator.estimateWaitMs(
      this.queue.countWaiting(request.priority),
    );
    if (this.options.clock.now() + wait < request.deadlineAt) return undefined;
    return new Problem({
      kind: ProblemKind.DEADLINE,
      what: 'the wait for a runner would pass the deadline',
      remedy:
        'come back after the time in Retry-After, or allow more time with Bayspool-Deadline-Ms',
      retryAfterMs: Math.max(RETRY_AFTER_MS, wait / 2),
    });
  }

  private tryReserve(
    request: SlotRequest,
  ): SlotReservation<T> | Problem | undefined {
    const usableStates = this.listUsable(request.version);
    if (usableStates.length === 0)
      return createNoRunnerProblem(request.version);
    const inPlace =
      request.places
        .map(place =>
          usableStates.filter(state => state.backend.place === place),
        )
        .find(group => group.length > 0) ?? [];
    const candidates = this.filterWithCapacity(
      this.listReachable(request, inPlace, usableStates),
      request,
    );
    if (inPlace.length === 0 && !request.allowsCrossing)
      return createNoRunnerProblem(request.version);
    const chosen = this.options.loadBalancer.choose(
      candidates.map(state => state.createView()),
      {place: request.places[0], prefixes: request.prefixes},
    );
    return chosen && this.reserve(this.states.get(chosen.id)!, request);
  }

  /** Lists the runners that serve the version; includes ejected ones while too few would be left without them. */
  private listUsable(version: string): BackendState<T>[] {
    const serving = this.listStates().filter(
      state =>
        state.servesVersion(version) && !this.options.isDrained(state.backend),
    );
    const healthy = serving.filter(state => state.isHealthy());
    const minUsable = Math.ceil(
      serving.length * (1 - this.options.settings.maxEjectedShare),
    );
    if (healthy.length >= minUsable) return healthy;
    const readmitted = serving.filter(
      state => !state.isHealthy() && state.health.isEjected(),
    );
    return [...healthy, ...readmitted.slice(0, minUsable - healthy.length)];
  }

  private filterWithCapacity(
    states: readonly BackendState<T>[],
    request: SlotRequest,
  ): BackendState<T>[] {
    const free = states.filter(state => state.hasCapacity());
    const untried = free.filter(state => !hasFailed(state, request));
    return untried.length > 0 ? untried : free;
  }

  /** Lists the runners of the request's place, and those of other places that it may cross to. */
  private listReachable(
    request: SlotRequest,
    inPlace: readonly BackendState<T>[],
    usable: readonly BackendState<T>[],
  ): readonly BackendState<T>[] {
    const others = usable.filter(state => !inPlace.includes(state));
    if (!request.allowsCrossing || others.length === 0) return inPlace;
    const {crossingPolicy} = this.options;
    const otherLoad = computeLoadPerSlot(others);
    const crossesByLoad = crossingPolicy.mayCross(
      request.places[0],
      computeLoadPerSlot(inPlace),
      otherLoad,
    );
    if (crossesByLoad) return [...inPlace, ...others];
    if (
      !isLeftWithFailed(inPlace, request) ||
      !crossingPolicy.hasRoom(otherLoad)
    )
      return inPlace;
    return [...inPlace, ...others.filter(state => !hasFailed(state, request))];
  }

  private reserve(
    state: BackendState<T>,
    request: SlotRequest,
  ): SlotReservation<T> {
    const {clock} = this.options;
    const startedAt = clock.now();
    let released = false;
    state.inFlight++;
    state.lastDispatchedAt = startedAt;
    state.prefixes.recordSent(request.prefixes);
    this.waitEstimator.recordDeparture();
    return {
      backend: state.backend,
      isInOtherPlace: state.backend.place !== request.places[0],
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

/** Returns a key that is the same for requests that may go to the same runners. */
function createReachKey(request: SlotRequest): string {
  const {version, places, allowsCrossing, avoidedIds} = request;
  return JSON.stringify([
    version,
    places,
    allowsCrossing,
    [...avoidedIds].sort(),
  ]);
}

function hasFailed<T extends Backend>(
  state: BackendState<T>,
  request: SlotRequest,
): boolean {
  return request.avoidedIds.has(state.backend.id);
}

/** Whether all runners that have capacity failed the request; if none has capacity, whether all runners did. */
function isLeftWithFailed<T extends Backend>(
  states: readonly BackendState<T>[],
  request: SlotRequest,
): boolean {
  const free = states.filter(state => state.hasCapacity());
  return (free.length > 0 ? free : states).every(state =>
    hasFailed(state, request),
  );
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
