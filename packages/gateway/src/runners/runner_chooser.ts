import {hashToUint32, combineHashes} from '@bayspool/decisions/calls';
import type {Prompt} from '@bayspool/decisions/calls';
import type {RandomSource} from '@bayspool/kernel';
import type {PrefixCacheIndex} from './prefix_cache_index.js';
import type {PrefillRates} from './prefill_rates.js';
import type {Runner} from './runner.js';
import type {RunnerChoice} from './runner_choice.js';
import type {RunnerQuery} from './runner_query.js';

interface Options {
  /** The place of this host. */
  readonly place: string;
  /** Hosts that choose among the same runners, this one included. */
  readonly hosts: () => number;
  /** Whether this host is one of the few that look at a runner first. */
  readonly isInSubset: (runner: Runner) => boolean;
  /** Places whose runners are probably out of reach. */
  readonly lostPlaces: () => ReadonlySet<string>;
  readonly random: RandomSource;
  readonly rates: PrefillRates;
  readonly prefixes: PrefixCacheIndex;
}

/** Runners of which one is chosen, and why these. */
interface CandidateSet {
  readonly reason: string;
  readonly runners: readonly Runner[];
  /** Runners among those looked at that were passed over as not sound. */
  readonly ejected: number;
}

interface ScoredRunner {
  readonly runner: Runner;
  readonly costMs: number;
  readonly workMs: number;
  readonly waitMs: number;
  readonly unreadTokens: number;
}

/** What another running request adds to the time of a call, in ms: its part of the engine's steps. */
const RUNNING_COST_MS = 4;
/** The same for plain services, in ms; above their slots each request waits for a whole answer. */
const PLAIN_RUNNING_COST_MS = 5;
/** What each request above the slots of a plain service adds, in ms. */
const PLAIN_QUEUED_COST_MS = 40;
/** The way to a runner in another place and back, in ms. */
const CROSS_PLACE_ROUND_TRIP_MS = 3;
/**
 * Waiting that bytes between places are worth avoiding, in ms a KB: measured, see
 * docs/design/deciding-well.md.
 */
const CROSS_PLACE_MS_PER_KB = 40;
/** An answer's size as far as it is known before: some KB on the users' sheets, in bytes. */
const TYPICAL_RESPONSE_BYTES = 2_000;
const BYTES_PER_KB = 1_000;
/**
 * How often the reading of shared parts is taken to be saved later if their home does it now: once.
 * The home is the runner at which all hosts look for these parts.
 */
const OWNER_SAVING_FACTOR = 1;
/** How many hosts look at a runner, on average. */
const HOSTS_PER_RUNNER = 5;
/** Runners that a host looks at in any case. */
const MIN_SAMPLE_SIZE = 4;
/** Runners of those that other hosts look at first that are looked at in any case, so that load can leave for them. */
const MIN_RANDOM_RUNNERS = 1;
/** Spread of random costs, in ms, so that hosts do not all take the same runner. */
const JITTER_MS = 3;

/** Chooses the runner with the least expected time to the first event, kept prefixes counted. */
export class RunnerChooser {
  constructor(private readonly options: Options) {}

  /** The runner for a call; undefined if the service has none. */
  choose(query: RunnerQuery): RunnerChoice | undefined {
    const lost = this.options.lostPlaces();
    const home = this.findPrefixOwner(query, lost);
    const pool =
      this.sampleRunners(query, lost, home) ?? findFallback(query, lost);
    if (!pool) return undefined;
    const {reason, runners, ejected} = pool;
    const best = this.findCheapest(runners, query, home);
    const {runner, workMs, waitMs, unreadTokens} = best;
    return {runner, workMs, waitMs, unreadTokens, ejected, reason};
  }

  /** Reading that waits at a sound runner on average, in ms. */
  computeMeanPendingMs(candidates: readonly Runner[]): number {
    const lost = this.options.lostPlaces();
    let sum = 0;
    let count = 0;
    for (const runner of candidates) {
      if (!isHealthy(runner, lost)) continue;
      sum += runner.totalPendingMs;
      count += 1;
    }
    return sum / Math.max(1, count);
  }

  /** The runner that all hosts expect to keep the shared parts of the prompt, of those that are sound. */
  private findPrefixOwner(
    {candidates, tried, prompt, model}: RunnerQuery,
    lost: ReadonlySet<string>,
  ): Runner | undefined {
    const deepest = prompt?.parts[prompt.parts.length - 2];
    if (!deepest) return undefined;
    const part = hashToUint32(`${model}|${deepest.id}`);
    const isFit = (runner: Runner) =>
      isAvailable(runner, tried) && isHealthy(runner, lost);
    const home = findOwnerByHash(part, candidates);
    if (!home || isFit(home)) return home;
    return findOwnerByHash(part, candidates.filter(isFit));
  }

  private findCheapest(
    runners: readonly Runner[],
    query: RunnerQuery,
    home: Runner | undefined,
  ): ScoredRunner {
    const {model, prompt} = query;
    const keptAt =
      prompt && model !== undefined
        ? this.options.prefixes.createCachedTokenCounter(model, prompt)
        : () => 0;
    let best: ScoredRunner | undefined;
    for (const runner of runners) {
      const kept = keptAt(runner.entry.id);
      const bid = this.bid(runner, query, runner === home, kept);
      if (!best || bid.costMs < best.costMs) best = bid;
    }
    return best!;
  }

  /**
   * Sound runners that were not tried: the home of the prompt, those that this host is assigned to, and a few others by chance,
   * so that hosts that know the same loads do not all take the same runner. Only these are looked at: to look at all of a large
   * fleet would take a host half as long again.
   */
  private sampleRunners(
    {candidates, tried}: RunnerQuery,
    lost: ReadonlySet<string>,
    home: Runner | undefined,
  ): CandidateSet | undefined {
    const {hosts, random, isInSubset: isAssigned} = this.options;
    const wanted = (candidates.length * HOSTS_PER_RUNNER) / hosts();
    const runners: Runner[] = [];
    const rest: Runner[] = [];
    let ejected = 0;
    if (home) runners.push(home);
    const add = (runner: Runner) => {
      if (runner === home || !isAvailable(runner, tried)) return;
      if (isHealthy(runner, lost)) runners.push(runner);
      else ejected += 1;
    };
    for (const runner of candidates)
      if (isAssigned(runner)) add(runner);
      else rest.push(runner);
    const count = Math.max(
      MIN_SAMPLE_SIZE,
      wanted,
      runners.length + MIN_RANDOM_RUNNERS,
    );
    while (runners.length < count && rest.length > 0)
      add(removeRandom(rest, random));
    if (runners.length === 0) return undefined;
    return {reason: 'least expected time', runners, ejected};
  }

  private bid(
    runner: Runner,
    query: RunnerQuery,
    isHome: boolean,
    kept: number,
  ): ScoredRunner {
    const {place, random} = this.options;
    const isLocal = runner.entry.place === place;
    const crossing = isLocal ? 0 : computeCrossPlaceCostMs(query.bodyBytes);
    const spread = random.next() * JITTER_MS;
    const {prompt, model} = query;
    if (!prompt || model === undefined) {
      const costMs =
        (computeQueueCostMs(runner) + crossing) * runner.slowness + spread;
      return {runner, costMs, workMs: 0, waitMs: 0, unreadTokens: 0};
    }
    const unreadTokens = Math.max(1, prompt.tokens - kept);
    const rate = this.options.rates.getMsPerToken(model);
    const workMs = unreadTokens * rate;
    const waitMs =
      runner.totalPendingMs +
      runner.totalRunning * RUNNING_COST_MS +
      runner.slotWaitMs;
    const sharedUnread = Math.max(0, countSharedTokens(prompt) - kept);
    // Read once where the other hosts look for it, a part costs its later requests nothing.
    const savedLaterMs = isHome ? sharedUnread * rate * OWNER_SAVING_FACTOR : 0;
    const costMs =
      (waitMs + workMs) * runner.slowness + crossing + spread - savedLaterMs;
    return {runner, costMs, workMs, waitMs, unreadTokens};
  }
}

/** What it costs to send a request to another place, in ms. */
function computeCrossPlaceCostMs(bodyBytes: number): number {
  const kilobytes = (bodyBytes + TYPICAL_RESPONSE_BYTES) / BYTES_PER_KB;
  return CROSS_PLACE_ROUND_TRIP_MS + kilobytes * CROSS_PLACE_MS_PER_KB;
}

function isHealthy(runner: Runner, lost: ReadonlySet<string>): boolean {
  if (runner.health.isEjected || runner.isQuiet) return false;
  return !lost.has(runner.entry.place);
}

/** Draws a runner by chance and takes it off the list, whose order is of no meaning. */
function removeRandom(rest: Runner[], random: RandomSource): Runner {
  const at = random.below(rest.length);
  const one = rest[at];
  rest[at] = rest[rest.length - 1];
  rest.pop();
  return one;
}

/** Where no sound runner is left that was not tried: the first set, the best ones first, that is not empty. */
function findFallback(
  {candidates, tried}: RunnerQuery,
  lost: ReadonlySet<string>,
): CandidateSet | undefined {
  if (candidates.length === 0) return undefined;
  const sound = candidates.filter(runner => isHealthy(runner, lost));
  const ejected = candidates.length - sound.length;
  const again = sound.filter(runner => runner.pool.hasRoom);
  if (again.length > 0)
    return {reason: 'tried before', runners: again, ejected};
  const unsound = candidates.filter(runner => isAvailable(runner, tried));
  if (unsound.length > 0)
    return {reason: 'all ejected', runners: unsound, ejected};
  return {reason: 'all ejected and tried', runners: candidates, ejected};
}

function isAvailable(runner: Runner, tried: ReadonlySet<string>): boolean {
  return !tried.has(runner.entry.id) && runner.pool.hasRoom;
}

function computeQueueCostMs(runner: Runner): number {
  const over = Math.max(0, runner.totalRunning - runner.entry.slots + 1);
  return (
    runner.totalRunning * PLAIN_RUNNING_COST_MS + over * PLAIN_QUEUED_COST_MS
  );
}

/** The first runner for a part of prompts by rendezvous hashing. */
function findOwnerByHash(
  part: number,
  runners: readonly Runner[],
): Runner | undefined {
  let first: Runner | undefined;
  let highest = -1;
  for (const runner of runners) {
    const score = combineHashes(part, runner.idHash);
    if (score <= highest) continue;
    first = runner;
    highest = score;
  }
  return first;
}

function countSharedTokens(prompt: Prompt): number {
  return prompt.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
}
