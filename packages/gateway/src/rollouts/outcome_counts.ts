/**
 * Counts of a version's attempts in one cell, which is a pair of route and model. `lost` attempts are those of the failed ones
 * whose response did not arrive whole; the count is absent in digests from hosts that run an earlier release.
 */
export type OutcomeCounts = readonly [
  ended: number,
  failed: number,
  slow: number,
  lost?: number,
];
