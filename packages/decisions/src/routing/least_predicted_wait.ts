import type {RandomSource} from '@bayspool/kernel';
import type {RouteRequest} from './route_request.js';
import type {LoadBalancer} from './load_balancer.js';
import type {RunnerView} from './runner_view.js';

interface Options {
  readonly random: RandomSource;
  /** How many runners are drawn at random for comparison. */
  readonly sampleCount?: number;
  /** What a crossing between places costs, in ms. */
  readonly crossingMs?: number;
}

const SAMPLE_COUNT = 2;
const CROSSING_MS = 5;
const TOKENS_PER_PREFIX = 256;
const THOUSAND = 1_000;

/**
 * Compares a few runners drawn at random, and the one that caches the longest
 * prefix, by score: expected wait, less the prefill that the cache saves, plus
 * the crossing. A random draw keeps hosts with the same lagged load from all
 * choosing the same runner.
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

  /** The score of a runner in ms; lower is better. */
  score(runner: RunnerView, request: RouteRequest): number {
    const ahead = Math.max(0, runner.load + 1 - runner.slots) / runner.slots;
    const crowding = runner.load / runner.slots / runner.share;
    const wait = (ahead + crowding) * runner.serviceMs;
    const saved =
      (runner.prefixes.countCached(request.prefixes) *
        TOKENS_PER_PREFIX *
        runner.prefillMs) /
      THOUSAND;
    const crossing =
      runner.place === request.place ? 0 : this.options.crossingMs;
    return wait - saved + crossing;
  }

  private sampleRunners(runners: readonly RunnerView[]): RunnerView[] {
    const rest = [...runners];
    const drawn: RunnerView[] = [];
    while (drawn.length < this.options.sampleCount && rest.length > 0) {
      drawn.push(...rest.splice(this.options.random.below(rest.length), 1));
    }
    return drawn;
  }
}

function findLongestPrefixMatch(
  runners: readonly RunnerView[],
  chain: readonly string[],
): RunnerView | undefined {
  if (chain.length === 0) return undefined;
  const best = findLeast(
    runners,
    runner => -runner.prefixes.countCached(chain),
  );
  return best && best.prefixes.countCached(chain) > 0 ? best : undefined;
}

function findLeast<T>(
  items: readonly T[],
  value: (item: T) => number,
): T | undefined {
  let best: T | undefined;
  let bestValue = Infinity;
  for (const item of items) {
    const own = value(item);
    if (own < bestValue) {
      best = item;
      bestValue = own;
    }
  }
  return best;
}
