import {sumByKey} from '../membership/sum_by_key.js';
import {keepLargest} from './keep_largest.js';
import type {DemandDigest} from './demand_digest.js';

/** Flows that a sum of digests names at most: those of two hosts that have nothing in common. */
const MAX_SUMMED_FLOWS = 16;

/** Sums what hosts ask of a service. */
export function sumDemandDigests(
  a: DemandDigest,
  b: DemandDigest,
): DemandDigest {
  const byWorkspace =
    a.byWorkspace || b.byWorkspace
      ? keepLargest(
          sumByKey([a.byWorkspace ?? {}, b.byWorkspace ?? {}]),
          MAX_SUMMED_FLOWS,
        )
      : undefined;
  return {
    byPriority: sumByKey([a.byPriority, b.byPriority]),
    ...(byWorkspace && {byWorkspace}),
    backlogMs: a.backlogMs + b.backlogMs,
    rejected: a.rejected + b.rejected,
  };
}
