import type {Clock} from '@bayspool/kernel';
import type {RolloutDigest} from './rollout_digest.js';

type Cells = RolloutDigest['fresh'];
type Counts = Cells[string];

interface Options {
  readonly clock: Clock;
}

/** What was seen of both versions. */
interface Evidence {
  readonly fresh: Cells;
  readonly old: Cells;
}

interface Snapshot extends Evidence {
  readonly at: number;
}

const ZERO_COUNTS: Counts = [0, 0, 0];
/** Pause between two snapshots, in ms. */
const SNAPSHOT_INTERVAL_MS = 500;
/** Snapshots kept: evidence of the last three seconds, in which a fault that shows now gives some tens of bad answers. */
const MAX_SNAPSHOTS = 7;

/**
 * What hosts saw of the two versions lately. A fault that shows late, or under load, would be diluted by all good answers
 * before it.
 */
export class RecentEvidence {
  private readonly snapshots: Snapshot[] = [];

  constructor(private readonly options: Options) {}

  /** Takes all that was seen so far, and gives what of it is recent. */
  update({fresh, old}: Evidence): Evidence {
    const at = this.options.clock.now();
    const last = this.snapshots.at(-1);
    if (!last || at - last.at >= SNAPSHOT_INTERVAL_MS)
      this.addSnapshot({at, fresh, old});
    const [first] = this.snapshots;
    return {
      fresh: subtractCells(fresh, first.fresh, () => ZERO_COUNTS),
      // Held against no answers of the old version, a few bad ones of the new version would look like a fault.
      old: subtractCells(old, first.old, counts => counts),
    };
  }

  private addSnapshot(snapshot: Snapshot): void {
    this.snapshots.push(snapshot);
    if (this.snapshots.length > MAX_SNAPSHOTS) this.snapshots.shift();
  }
}

/**
 * What was counted since. Counts go back when a host's are not told any more, and then tell nothing of the time since.
 *
 * @param whenBack what is taken in place of counts that went back
 */
function subtractCells(
  now: Cells,
  before: Cells,
  whenBack: (counts: Counts) => Counts,
): Cells {
  const recent: Record<string, Counts> = {};
  for (const [name, counts] of Object.entries(now)) {
    const [ended, failed, slow] = before[name] ?? ZERO_COUNTS;
    const grown = [counts[0] - ended, counts[1] - failed, counts[2] - slow];
    const isWhole = grown.every(count => count >= 0);
    recent[name] = isWhole ? [grown[0], grown[1], grown[2]] : whenBack(counts);
  }
  return recent;
}
