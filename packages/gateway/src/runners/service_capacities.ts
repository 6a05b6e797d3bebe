import {estimateServiceCapacity} from '@bayspool/decisions/capacity';
import type {
  RunnerCapacity,
  ServiceCapacity,
} from '@bayspool/decisions/capacity';
import type {Clock} from '@bayspool/kernel';
import type {RunnerDirectory} from '../discovery/runner_directory.js';
import type {Runner} from './runner.js';

interface Options {
  readonly clock: Clock;
  readonly directory: Pick<RunnerDirectory, 'listAcceptingCalls'>;
  /** Places whose runners are probably unreachable. */
  readonly lostPlaces: () => ReadonlySet<string>;
  /** Whether no request may be sent to a runner now. */
  readonly isWithheld: (runner: Runner) => boolean;
  /** Whether a service's runners are model engines. */
  readonly isEngine: (service: string) => boolean;
  /** Calls per second that a cold runner of a service bears; undefined if unlimited. */
  readonly coldCallsPerSecondOf: (service: string) => number | undefined;
  /** Age of the loads that other hosts reported, in ms. */
  readonly loadsAgeMs: () => number;
}

interface CachedCapacity {
  readonly capacity: ServiceCapacity;
  /** Slots of the usable runners, whatever their speed. */
  readonly slots: number;
  readonly at: number;
}

/** How long a capacity is reused, in ms, so that the work per call does not grow with the number of runners. */
const CACHE_TTL_MS = 50;
/** Prefill time by which pending work of an engine is counted as requests, in ms; an engine with any of it is busy. */
const MEAN_PREFILL_MS = 100;

/** What the runners of each service can take now, as this host knows it. */
export class ServiceCapacities {
  private readonly byService = new Map<string, CachedCapacity>();

  constructor(private readonly options: Options) {}

  /** Returns the capacity of a service, computed at most some tens of ms ago. */
  get(service: string): ServiceCapacity {
    return this.getCached(service).capacity;
  }

  /** Returns the slots of the usable runners of a service, which requests in flight fill whatever the runners' speed. */
  countSlots(service: string): number {
    return this.getCached(service).slots;
  }

  private getCached(service: string): CachedCapacity {
    const {clock, directory, loadsAgeMs} = this.options;
    const at = clock.now();
    const cached = this.byService.get(service);
    if (cached && at - cached.at < CACHE_TTL_MS) return cached;
    const runners = directory
      .listAcceptingCalls(service)
      .map(runner => this.toCapacity(runner));
    const computed = {
      at,
      capacity: estimateServiceCapacity({runners, ageMs: loadsAgeMs()}),
      slots: sumUsableSlots(runners),
    };
    this.byService.set(service, computed);
    return computed;
  }

  private toCapacity(runner: Runner): RunnerCapacity {
    const {isEngine, coldCallsPerSecondOf} = this.options;
    const {service} = runner.entry;
    const isPrefill = isEngine(service);
    const coldCallsPerSecond = runner.isCold
      ? coldCallsPerSecondOf(service)
      : undefined;
    const declared = runner.limit.perSecond;
    const bounds = [coldCallsPerSecond, declared].filter(
      bound => bound !== undefined,
    );
    const maxCallsPerSecond =
      bounds.length > 0 ? Math.min(...bounds) : undefined;
    const isUsable = this.isUsable(runner, isPrefill);
    const {slowness} = runner;
    const load = isPrefill ? readPrefillLoad(runner) : readSlotLoad(runner);
    return {isUsable, slowness, maxCallsPerSecond, ...load};
  }

  private isUsable(runner: Runner, isEngineRunner: boolean): boolean {
    const {lostPlaces, isWithheld} = this.options;
    const {health, isQuiet, entry} = runner;
    // A plain runner sends nothing while it works: silence there is no sign that it takes no calls.
    if (health.isEjected || (isEngineRunner && isQuiet)) return false;
    return !lostPlaces().has(entry.place) && !isWithheld(runner);
  }
}

type RunnerLoadFigures = Pick<
  RunnerCapacity,
  'slots' | 'running' | 'backlogMs' | 'meanWorkMs'
>;

function readSlotLoad(runner: Runner): RunnerLoadFigures {
  const {totalRunning: running, totalSlotMs, usualDurationMs, slots} = runner;
  const backlogMs = totalSlotMs > 0 ? totalSlotMs : running * usualDurationMs;
  const meanWorkMs = running > 0 ? backlogMs / running : 0;
  return {slots, running, backlogMs, meanWorkMs};
}

function readPrefillLoad({
  totalPendingMs: backlogMs,
  usualPrefillMs: meanWorkMs,
}: Runner): RunnerLoadFigures {
  const running = backlogMs > 0 ? 1 + backlogMs / MEAN_PREFILL_MS : 0;
  return {slots: 1, running, backlogMs, meanWorkMs};
}

function sumUsableSlots(runners: readonly RunnerCapacity[]): number {
  return runners
    .filter(({isUsable}) => isUsable)
    .reduce((sum, {slots}) => sum + slots, 0);
}
