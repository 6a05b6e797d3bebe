import {hashToUint32} from './hash_to_uint32.js';
import {combineHashes} from './combine_hashes.js';

/** A runner as far as its load matters. */
interface LoadedRunner {
  readonly id: string;
  /** Requests that run there. */
  readonly totalRunning: number;
  /** Requests that can run there at once. */
  readonly slots: number;
}

interface Options<T extends LoadedRunner> {
  /** Runners of the new version, one at least. */
  readonly fresh: readonly T[];
  /** Runners of the old one. */
  readonly old: readonly T[];
}

/** Part of its slots from which a runner counts as loaded: below, a fault that needs load would not show anyway. */
const LOADED_PART = 0.25;

/**
 * The runners of a version that is watched among which a call may choose. The few calls that it gets would leave each runner with
 * a twentieth of the load that it bears once all calls move, and what breaks under load would show only then; so they go to
 * the first runner that has less than the old ones usually have, in an order that all hosts share.
 */
export function chooseCanaryRunners<T extends LoadedRunner>({
  fresh,
  old,
}: Options<T>): readonly T[] {
  const usual = meanOf(old.map(({totalRunning}) => totalRunning));
  const slots = meanOf(old.map(runner => runner.slots));
  if (usual < slots * LOADED_PART) return fresh;
  const first = rank(fresh).find(({totalRunning}) => totalRunning < usual);
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
