/** Ratio of the largest to the smallest work of one size. */
const SIZE_RATIO = 4;
const LARGEST_SIZE = 12;

/** Rank of a call's size by its work, from 0. */
export function computeSize(workMs: number): number {
  const size = Math.log(Math.max(1, workMs)) / Math.log(SIZE_RATIO);
  return Math.min(LARGEST_SIZE, Math.floor(size));
}
