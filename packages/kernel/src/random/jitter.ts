import type {RandomSource} from './random_source.js';

/** Spreads `baseMs` uniformly over ±`part` of itself, so that timers of many hosts do not align. */
export function jitter(
  random: RandomSource,
  baseMs: number,
  part = 0.25,
): number {
  return baseMs * (1 - part + 2 * part * random.next());
}
