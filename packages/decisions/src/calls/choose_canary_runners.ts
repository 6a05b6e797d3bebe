import {hashToUint32} from './hash_to_uint32.js';
import {combineHashes} from './combine_hashes.js';

/** A runner with its load. */
interface LoadedRunner {
  readonly id: string;
  /** Requests that are running there. */
  readonly totalRunning: number;
  /** Requests that can run there at the same time. */
  readonly slots: number;
}

interface Options<T extends LoadedRunner> {
  /** Runners of the new version; at least one. */
  readonly fresh: readonly T[];
  /** Runners of the old version. */
  readonly old: readonly T[];
}

/**
 * Share of slots in use from which a runner counts as loaded; below that, a fault that needs load
 * would not show up anyway.
 */
const LOADED_PART = 0.25;

/**
 * Chooses the runners of a version in its canary phase among which a call is placed. Spread over
 * all runners, the few canary calls would give each a twentieth of the load that it bears after the
 * shift, and faults under load would show up only then. So calls go to the first runner with less
 * load than the old ones have on average, in an order that all hosts share.
 */
export function chooseCanaryRunners<T extends LoadedRunner>({
  fresh,
  old,
}: Options<T>): readonly T[] {
  const meanRunning = meanOf(old.map(({totalRunning}) => totalRunning));
  const meanSlots = meanOf(old.map(runner => runner.slots));
  if (meanRunning < meanSlots * LOADED_PART) return fresh;
  const first = rank(fresh).find(
    ({totalRunning}) => totalRunning < meanRunning,
  );
  return first ? [first] : fresh;
}

function rank<T extends LoadedRunner>(runners: readonly T[]): T[] {
  const seed = hashToUint32('watched');
  const scoreOf = ({id}: T) => combineHashes(seed, hashToUint32(id));
  return [...runners].sort((a, b) => scoreOf(a) - scoreOf(b));
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
