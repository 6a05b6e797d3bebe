import {getOwn} from '@bayspool/kernel';
import type {SpeedSum} from '@bayspool/decisions/capacity';

type Speeds = Readonly<Record<string, SpeedSum>>;

/** Subtracts the samples of one host from a sum. A runner is left out if no weight remains. */
export function subtractSpeeds(
  sum: Speeds | undefined,
  part: Speeds = {},
): Speeds | undefined {
  if (!sum) return undefined;
  const rest: Record<string, SpeedSum> = {...sum};
  for (const [id, [weight, logSum]] of Object.entries(part)) {
    const all = getOwn(rest, id);
    if (!all) continue;
    if (all[0] > weight) rest[id] = [all[0] - weight, all[1] - logSum];
    else delete rest[id];
  }
  return rest;
}
