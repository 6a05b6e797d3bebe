import type {OutcomeCounts} from './outcome_counts.js';

/** Adds the counts of two hosts. */
export function addOutcomeCounts(
  [ended, failed, slow, lost = 0]: OutcomeCounts,
  other: OutcomeCounts,
): OutcomeCounts {
  return [
    ended + other[0],
    failed + other[1],
    slow + other[2],
    lost + (other[3] ?? 0),
  ];
}
