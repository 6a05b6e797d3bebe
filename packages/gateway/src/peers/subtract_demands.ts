import {subtractDemandDigest} from '@bayspool/decisions/admission';
import {getOwn} from '@bayspool/kernel';
import type {DemandDigest} from '@bayspool/decisions/admission';

type Demands = Readonly<Record<string, DemandDigest>>;

/** Subtracts what one host contributed from the sum of what callers ask of each service. */
export function subtractDemands(
  sum: Demands | undefined,
  part: Demands = {},
): Demands | undefined {
  if (!sum) return undefined;
  const rest: Record<string, DemandDigest> = {...sum};
  for (const [service, own] of Object.entries(part)) {
    const all = getOwn(rest, service);
    if (all) rest[service] = subtractDemandDigest(all, own);
  }
  return rest;
}
