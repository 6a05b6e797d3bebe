import type {SpeedSum} from '@bayspool/decisions/capacity';

type Speeds = Readonly<Record<string, SpeedSum>>;

/** Adds the samples of runners' speeds that several hosts took; undefined if there are none. */
export function mergeSpeeds(
  parts: ReadonlyArray<Speeds | undefined>,
): Speeds | undefined {
  let merged: Map<string, SpeedSum> | undefined;
  for (const speeds of parts) {
    if (!speeds) continue;
    merged ??= new Map<string, SpeedSum>();
    for (const [id, [weight, logSum]] of Object.entries(speeds)) {
      const [otherWeight, otherSum] = merged.get(id) ?? [0, 0];
      merged.set(id, [weight + otherWeight, logSum + otherSum]);
    }
  }
  return merged && Object.fromEntries(merged);
}
