import {hashToUint32, combineHashes} from '@bayspool/decisions/calls';
import type {WorkEstimator} from '@bayspool/decisions/capacity';
import type {RandomSource} from '@bayspool/kernel';
import {countSharedTokens} from './count_shared_tokens.js';
import {EngineCosts} from './engine_costs.js';
import {PlainCosts} from './plain_costs.js';
import type {PrefillRates} from './prefill_rates.js';
import type {PrefixCacheIndex} from './prefix_cache_index.js';
import type {Runner} from './runner.js';
import type {RunnerChoice} from './runner_choice.js';
import type {RunnerQuery} from './runner_query.js';
import type {RunnerCosts} from './runner_costs.js';

interface Options {
  /** The place of this host. */
  readonly place: string;
  /** Number of hosts that choose among the same runners, including this one. */
  readonly hosts: () => number;
  /** Whether a runner is in this host's subset, which is considered for every call. */
  readonly isInSubset: (runner: Runner) => boolean;
  /** Places whose runners are probably unreachable. */
  readonly lostPlaces: () => ReadonlySet<string>;
  readonly random: RandomSource;
  readonly rates: PrefillRates;
  readonly prefixes: PrefixCacheIndex;
  /** Learned work of calls without prompts; nothing is known of it if absent. */
  readonly work?: WorkEstimator;
  /** Memory of a service's engines, in tokens; undefined if unknown. */
  readonly memoryTokensOf?: (service: string) => number | undefined;
}

/** Runners from which one is chosen, and why these. */
interface CandidateSet {
  readonly reason: string;
  readonly runners: readonly Runner[];
  /** Number of runners that were considered and skipped as unhealthy. */
  readonly ejected: number;
}

/** Average number of hosts that consider a runner for a call. */
const HOSTS_PER_RUNNER = 5;
/** Minimum number of runners considered for a call. */
const MIN_SAMPLE_SIZE = 4;
/** Minimum number of runners sampled from outside this host's subset, so that load can move to them. */
const MIN_RANDOM_RUNNERS = 1;
/** Maximum random cost added to a runner, in ms, so that hosts do not all choose the same one. */
const JITTER_MS = 3;
/** Cost of a runner that refuses all requests or breaks their responses, in ms: the time that a caller waits while its call is sent on. */
const REFUSAL_MS = 500;
/** Round trip to a runner in another place, in ms. */
const CROSS_PLACE_ROUND_TRIP_MS = 3;
/**
 * Wait that is accepted to avoid sending 1 KB between places, in ms; the measurements are in
 * docs/design/deciding-well.md.
 */
const CROSS_PLACE_MS_PER_KB = 40;
/** Assumed size of a response, in bytes, as the real size is not known in advance; the users state a few KB. */
const TYPICAL_RESPONSE_BYTES = 2_000;
const BYTES_PER_KB = 1_000;

/** Chooses the runner with the least expected time to the first event, taking cached prefixes into account. */
export class RunnerChooser {
  constructor(private readonly options: Options) {}

  /** Chooses the runner for a call; undefined if there are no candidates. */
  choose(query: RunnerQuery): RunnerChoice | undefined {
    const lostPlaces = this.options.lostPlaces();
    const owners = this.findPrefixOwners(query, lostPlaces);
    const candidateSet =
      this.sampleRunners(query, lostPlaces, owners) ??
      findFallback(query, lostPlaces);
    if (!candidateSet) return undefined;
    const {reason, runners, ejected} = candidateSet;
    const figures = this.findCheapest(runners, query, owners);
    return {...figures, ejected, reason};
  }

  /** Lists the healthy runners with a free connection to which a call has not been sent yet. */
  listUsable(
    runners: readonly Runner[],
    tried: ReadonlySet<string>,
  ): readonly Runner[] {
    const lostPlaces = this.options.lostPlaces();
    return runners.filter(
      runner => isAvailable(runner, tried) && isHealthy(runner, lostPlaces),
    );
  }

  /** Mean pending prefill time of the healthy runners, in ms. */
  computeMeanPendingMs(candidates: readonly Runner[]): number {
    const lostPlaces = this.options.lostPlaces();
    let sum = 0;
    let count = 0;
    for (const runner of candidates) {
      if (!isHealthy(runner, lostPlaces)) continue;
      sum += runner.totalPendingMs;
      count += 1;
    }
    return sum / Math.max(1, count);
  }

  /**
   * Finds the healthy runner at which all hosts expect the shared parts of the prompt to be cached. If the wait there
   * exceeds the prefill of these parts, the runner that would be next has them as well.
   */
  private findPrefixOwners(
    {candidates, tried, prompt, model}: RunnerQuery,
    lostPlaces: ReadonlySet<string>,
  ): readonly Runner[] {
    const lastShared = prompt?.parts[prompt.parts.length - 2];
    if (!prompt || !lastShared) return [];
    const partHash = hashToUint32(`${model}|${lastShared.id}`);
    const isUsable = (runner: Runner) =>
      isAvailable(runner, tried) && isHealthy(runner, lostPlaces);
    const first = findOwnerByHash(partHash, candidates);
    const owner =
      !first || isUsable(first)
        ? first
        : findOwnerByHash(partHash, candidates.filter(isUsable));
    if (!owner) return [];
    if (model === undefined) return [owner];
    const sharedMs =
      countSharedTokens(prompt) * this.options.rates.getMsPerToken(model);
    if (owner.totalPendingMs + owner.slotWaitMs <= sharedMs) return [owner];
    const others = candidates.filter(
      runner => runner !== owner && isUsable(runner),
    );
    const second = findOwnerByHash(partHash, others);
    return second ? [owner, second] : [owner];
  }

  private findCheapest(
    runners: readonly Runner[],
    query: RunnerQuery,
    owners: readonly Runner[],
  ): Omit<RunnerChoice, 'ejected' | 'reason'> {
    const {place, random} = this.options;
    const costs = this.createCosts(runners, query, owners);
    const crossPlaceMs = computeCrossPlaceCostMs(query.bodyBytes);
    let best = 0;
    let lowestMs = Infinity;
    runners.forEach(({entry, refusals}, index) => {
      const placeMs = entry.place === place ? 0 : crossPlaceMs;
      const jitterMs = random.next() * JITTER_MS;
      const refusalMs = refusals.value * REFUSAL_MS;
      const costMs =
        costs.computeCostMs(index) + placeMs + refusalMs + jitterMs;
      if (!(costMs < lowestMs)) return;
      best = index;
      lowestMs = costMs;
    });
    return {runner: runners[best], ...costs.describe(best)};
  }

  private createCosts(
    runners: readonly Runner[],
    query: RunnerQuery,
    owners: readonly Runner[],
  ): RunnerCosts {
    const {work, rates, prefixes, memoryTokensOf} = this.options;
    const {route, prompt, model, memoryTokens = prompt?.tokens} = query;
    if (!prompt || model === undefined) {
      const service =
        route === undefined ? undefined : work?.getServiceTime(route);
      return new PlainCosts({runners, service});
    }
    const [{entry}] = runners;
    return new EngineCosts({
      runners,
      prompt,
      owners,
      pauseTargetMs: query.pauseTargetMs ?? 0,
      msPerToken: rates.getMsPerToken(model),
      memoryTokens: memoryTokens!,
      memoryLimit: memoryTokensOf?.(entry.service) ?? Infinity,
      countCachedTokens: prefixes.createCachedTokenCounter(model, prompt),
    });
  }

  /**
   * Collects healthy runners that were not tried: the owner of the prompt's prefix, those in this host's subset,
   * and a few random others, so that hosts that know the same loads do not all choose the same runner. Scoring
   * all runners of a large fleet instead would take a host half as long again.
   */
  private sampleRunners(
    {candidates, tried}: RunnerQuery,
    lostPlaces: ReadonlySet<string>,
    owners: readonly Runner[],
  ): CandidateSet | undefined {
    const {hosts, random, isInSubset} = this.options;
    const sampleSize = (candidates.length * HOSTS_PER_RUNNER) / hosts();
    const runners = [...owners];
    const others: Runner[] = [];
    let ejected = 0;
    const add = (runner: Runner) => {
      if (owners.includes(runner) || !isAvailable(runner, tried)) return;
      if (isHealthy(runner, lostPlaces)) runners.push(runner);
      else ejected += 1;
    };
    for (const runner of candidates)
      if (isInSubset(runner)) add(runner);
      else others.push(runner);
    const count = Math.max(
      MIN_SAMPLE_SIZE,
      sampleSize,
      runners.length + MIN_RANDOM_RUNNERS,
    );
    while (runners.length < count && others.length > 0)
      add(removeRandom(others, random));
    if (runners.length === 0) return undefined;
    return {reason: 'least expected time', runners, ejected};
  }
}

/** Cost of sending a request to another place, in ms. */
function computeCrossPlaceCostMs(bodyBytes: number): number {
  const kilobytes = (bodyBytes + TYPICAL_RESPONSE_BYTES) / BYTES_PER_KB;
  return CROSS_PLACE_ROUND_TRIP_MS + kilobytes * CROSS_PLACE_MS_PER_KB;
}

function isHealthy(runner: Runner, lostPlaces: ReadonlySet<string>): boolean {
  if (runner.health.isEjected || runner.isQuiet) return false;
  return !lostPlaces.has(runner.entry.place);
}

/** Removes a random runner from the list, without preserving the order of the others, and returns it. */
function removeRandom(others: Runner[], random: RandomSource): Runner {
  const index = random.below(others.length);
  const runner = others[index];
  others[index] = others[others.length - 1];
  others.pop();
  return runner;
}

/** Returns the best non-empty fallback set when no healthy untried runner is left. */
function findFallback(
  {candidates, tried, prefersUntried = false}: RunnerQuery,
  lostPlaces: ReadonlySet<string>,
): CandidateSet | undefined {
  if (candidates.length === 0) return undefined;
  const healthy = candidates.filter(runner => isHealthy(runner, lostPlaces));
  const ejected = candidates.length - healthy.length;
  const retryable = {
    reason: 'tried before',
    runners: healthy.filter(runner => runner.pool.hasCapacity),
    ejected,
  };
  const untried = {
    reason: 'all ejected',
    runners: candidates.filter(runner => isAvailable(runner, tried)),
    ejected,
  };
  const sets = prefersUntried ? [untried, retryable] : [retryable, untried];
  return (
    sets.find(({runners}) => runners.length > 0) ?? {
      reason: 'all ejected and tried',
      runners: candidates,
      ejected,
    }
  );
}

function isAvailable(runner: Runner, tried: ReadonlySet<string>): boolean {
  return !tried.has(runner.entry.id) && runner.pool.hasCapacity;
}

/** Finds the owner of a prompt part by rendezvous hashing. */
function findOwnerByHash(
  partHash: number,
  runners: readonly Runner[],
): Runner | undefined {
  let owner: Runner | undefined;
  let highest = -1;
  for (const runner of runners) {
    const score = combineHashes(partHash, runner.idHash);
    if (score <= highest) continue;
    owner = runner;
    highest = score;
  }
  return owner;
}
