import {EPISODE_GAP_MS} from './episode_gap_ms.js';

/** Number of groups of crashes that are separated by a pause, by the times at which they were noted, in ms. */
export function countEpisodes(times: readonly number[]): number {
  const sorted = [...times].sort((a, b) => a - b);
  return sorted.filter(
    (at, i) => i === 0 || at - sorted[i - 1] >= EPISODE_GAP_MS,
  ).length;
}
