import {sumDemandDigests} from '@bayspool/decisions/admission';
import type {DemandDigest} from '@bayspool/decisions/admission';

type Demands = Readonly<Record<string, DemandDigest>>;

/** Sums what callers ask of each service; undefined if no host states it. */
export function mergeDemands(
  records: readonly (Demands | undefined)[],
): Demands | undefined {
  let merged: Map<string, DemandDigest> | undefined;
  for (const record of records) {
    if (!record) continue;
    merged ??= new Map<string, DemandDigest>();
    for (const [service, demand] of Object.entries(record)) {
      const sum = merged.get(service);
      merged.set(service, sum ? sumDemandDigests(sum, demand) : demand);
    }
  }
  return merged && Object.fromEntries(merged);
}
