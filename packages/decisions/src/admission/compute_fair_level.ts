/**
 * Computes the max-min fair level: flows that ask for no more than the level get all that they ask for, and each other
 * gets the level. Infinity if all get what they ask for.
 */
export function computeFairLevel(
  demands: readonly number[],
  capacity: number,
): number {
  const ascending = [...demands].sort((a, b) => a - b);
  let left = capacity;
  for (const [index, demand] of ascending.entries()) {
    const level = left / (ascending.length - index);
    if (demand > level) return level;
    left -= demand;
  }
  return Infinity;
}
