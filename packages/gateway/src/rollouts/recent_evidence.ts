import {getOwn} from '@bayspool/kernel';
import type {Clock} from '@bayspool/kernel';
import type {OutcomeCounts} from './outcome_counts.js';
import type {RolloutDigest} from './rollout_digest.js';

type Cells = RolloutDigest['fresh'];

interface Options {
  readonly clock: Clock;
}

/** Outcome counts of both versions. */
interface Evidence {
  readonly fresh: Cells;
  readonly old: Cells;
}

interface Snapshot extends Evidence {
  readonly at: number;
}

const ZERO_COUNTS: OutcomeCounts = [0, 0, 0];
/** Minimum interval between two snapshots, in ms. */
const SNAPSHOT_INTERVAL_MS = 500;
/** Snapshots kept: those of the last three seconds, in which a fault that shows now causes some tens of bad responses. */
const MAX_SNAPSHOTS = 7;

/**
 * Computes the outcome counts of the last seconds from cumulative counts. In the cumulative counts, a fault that shows late
 * or only under load would be diluted by all earlier good responses.
 */
export class RecentEvidence {
  private readonly snapshots: Snapshot[] = [];

  constructor(private readonly options: Options) {}

  /** Records the cumulative counts and returns their recent part. */
  update({fresh, old}: Evidence): Evidence {
    const at = this.options.clock.now();
    const last = this.snapshots.at(-1);
    if (!last || at - last.at >= SNAPSHOT_INTERVAL_MS)
      this.addSnapshot({at, fresh, old});
    const [first] = this.snapshots;
    return {
      fresh: subtractCells(fresh, first.fresh, () => ZERO_COUNTS),
      // Compared with zero responses of the old version, a few bad responses of the new version would look like a fault.
      old: subtractCells(old, first.old, counts => counts),
    };
  }

  private addSnapshot(snapshot: Snapshot): void {
    this.snapshots.push(snapshot);
    if (this.snapshots.length > MAX_SNAPSHOTS) this.snapshots.shift();
  }
}

/**
 * Returns the difference of two sets of cumulative counts. A sum over hosts decreases when the digest of a host is missing
 * from it; the difference then says nothing about the time in between.
 *
 * @param onDecrease returns the counts to use for a cell whose counts decreased
 */
function subtractCells(
  now: Cells,
  before: Cells,
  onDecrease: (counts: OutcomeCounts) => OutcomeCounts,
): Cells {
  const recent = new Map<string, OutcomeCounts>();
  for (const [name, counts] of Object.entries(now)) {
    const [ended, failed, slow, lost = 0] = getOwn(before, name) ?? ZERO_COUNTS;
    const difference = [
      counts[0] - ended,
      counts[1] - failed,
      counts[2] - slow,
      (counts[3] ?? 0) - lost,
    ] as const;
    const isMonotonic = difference.every(count => count >= 0);
    recent.set(name, isMonotonic ? difference : onDecrease(counts));
  }
  return Object.fromEntries(recent);
}
