/** Part of the capacity that each less urgent priority gets at least, while it asks for it. */
const MIN_SHARE = 0.05;
/** Upper bound of these parts together, so that many priorities don't take the capacity of the urgent ones. */
const MAX_RESERVED_SHARE = 0.2;

/**
 * Allocates capacity to priorities, the most urgent first (0); each less urgent one gets at least a small part.
 *
 * @param demands work asked for per ms, by priority
 * @param capacity work that can be done per ms
 */
export function allocateByPriority(
  demands: ReadonlyMap<number, number>,
  capacity: number,
): Map<number, number> {
  const order = [...demands.keys()].sort((a, b) => a - b);
  const share = Math.min(MIN_SHARE, MAX_RESERVED_SHARE / order.length);
  const reservedFor = (priority: number) =>
    Math.min(demands.get(priority) ?? 0, capacity * share);
  let reserved = order.reduce((sum, next) => sum + reservedFor(next), 0);
  let left = capacity;
  const allocation = new Map<number, number>();
  for (const priority of order) {
    reserved -= reservedFor(priority);
    const demand = demands.get(priority) ?? 0;
    const part = Math.min(demand, Math.max(0, left - reserved));
    allocation.set(priority, part);
    left -= part;
  }
  return allocation;
}
