import type {RandomSource} from '@bayspool/kernel';
import type {RouteRequest} from './route_request.js';
import type {LoadBalancer} from './load_balancer.js';
import type {RunnerView} from './runner_view.js';

interface Options {
  readonly random: RandomSource;
  /** Number of runners sampled at random for comparison. */
  readonly sampleCount?: number;
  /** Cost of crossing to another place, in ms. */
  readonly crossingMs?: number;
}

const SAMPLE_COUNT = 2;
const CROSSING_MS = 5;
const TOKENS_PER_PREFIX = 256;
const THOUSAND = 1_000;

/**
 * Compares a few randomly sampled runners, and the one with the longest cached prefix, by score:
 * expected wait, minus the prefill time that the cache saves, plus the cost of crossing. Random
 * sampling prevents hosts that see the same outdated load from all choosing the same runner.
 */
export class LeastPredictedWait implements LoadBalancer {
  private readonly options: Required<Options>;

  constructor(options: Options) {
    this.options = {
      sampleCount: SAMPLE_COUNT,
      crossingMs: CROSSING_MS,
      ...options,
    };
  }

  choose(
    runners: readonly RunnerView[],
    request: RouteRequest,
  ): RunnerView | undefined {
    const candidates = this.sampleRunners(runners);
    const cached = findLongestPrefixMatch(runners, request.prefixes);
    if (cached) candidates.push(cached);
    return findLeast(candidates, runner => this.score(runner, request));
  }

  /** Returns the score of a runner in ms; lower is better. */
  score(runner: RunnerView, request: RouteRequest): number {
    const queued = Math.max(0, runner.load + 1 - runner.slots) / runner.slots;
    const utilization = runner.load / runner.slots / runner.share;
    const waitMs = (queued + utilization) * runner.serviceMs;
    const savedMs =
      (runner.prefixes.countCached(request.prefixes) *
        TOKENS_PER_PREFIX *
        runner.prefillMs) /
      THOUSAND;
    const crossingMs =
      runner.place === request.place ? 0 : this.options.crossingMs;
    return waitMs - savedMs + crossingMs;
  }

  private sampleRunners(runners: readonly RunnerView[]): RunnerView[] {
    const remaining = [...runners];
    const sampled: RunnerView[] = [];
    while (sampled.length < this.options.sampleCount && remaining.length > 0) {
      sampled.push(
        ...remaining.splice(this.options.random.below(remaining.length), 1),
      );
    }
    return sampled;
  }
}

function findLongestPrefixMatch(
  runners: readonly RunnerView[],
  prefixes: readonly string[],
): RunnerView | undefined {
  if (prefixes.length === 0) return undefined;
  const best = findLeast(
    runners,
    runner => -runner.prefixes.countCached(prefixes),
  );
  return best && best.prefixes.countCached(prefixes) > 0 ? best : undefined;
}

function findLeast<T>(
  items: readonly T[],
  value: (item: T) => number,
): T | undefined {
  let best: T | undefined;
  let bestValue = Infinity;
  for (const item of items) {
    const itemValue = value(item);
    if (itemValue < bestValue) {
      best = item;
      bestValue = itemValue;
    }
  }
  return best;
}
