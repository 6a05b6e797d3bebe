import {getOwn} from '@bayspool/kernel';
import type {DemandDigest} from './demand_digest.js';

/** Subtracts what one host contributed from a sum of digests. */
export function subtractDemandDigest(
  sum: DemandDigest,
  part: DemandDigest,
): DemandDigest {
  return {
    byPriority: subtractRecord(sum.byPriority, part.byPriority),
    ...(sum.byWorkspace && {
      byWorkspace: subtractRecord(sum.byWorkspace, part.byWorkspace),
    }),
    backlogMs: Math.max(0, sum.backlogMs - part.backlogMs),
    rejected: Math.max(0, sum.rejected - part.rejected),
  };
}

function subtractRecord(
  sum: Readonly<Record<string, number>>,
  part: Readonly<Record<string, number>> = {},
): Record<string, number> {
  const rest = new Map<string, number>();
  for (const [key, value] of Object.entries(sum)) {
    const left = value - (getOwn(part, key) ?? 0);
    if (left > 0) rest.set(key, left);
  }
  return Object.fromEntries(rest);
}
