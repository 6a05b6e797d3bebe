/** Most crashes kept for a part; the oldest are forgotten first. */
const MAX_CRASHES = 16;

/** A shared part of prompts whose responses had begun at runners when they crashed. */
export class SuspectPart {
  /** When the part was quarantined, on this host's clock; undefined if it is not. */
  quarantinedAt: number | undefined;
  /** When a crash was last added; the part is gossiped for some time after that. */
  changedAt = -Infinity;
  /** Whether another host has quarantined the part for these crashes: it has settled there. */
  isSettledElsewhere = false;
  /** Crashes that count, by the runner's start, with the time at which this host learned of them. */
  private readonly counted = new Map<number, number>();
  /** Crashes before a whole response; they are remembered because other hosts still gossip them. */
  private readonly cleared = new Set<number>();

  /**
   * @param depth position of the part in its prompts, from 0
   */
  constructor(
    readonly key: string,
    readonly depth: number,
  ) {}

  /** Starts of the crashed runners that count against the part. */
  get crashes(): readonly number[] {
    return [...this.counted.keys()];
  }

  /** Adds the crash of a runner start. */
  addCrash(start: number, now: number): void {
    if (this.counted.has(start) || this.cleared.has(start)) return;
    this.counted.set(start, now);
    this.changedAt = now;
    if (this.counted.size > MAX_CRASHES)
      this.counted.delete([...this.counted.keys()][0]);
  }

  /** Discounts the crash of one runner start. */
  clearCrash(start: number): void {
    this.counted.delete(start);
    this.cleared.add(start);
    if (this.counted.size === 0) this.isSettledElsewhere = false;
  }

  /** Discounts all crashes so far and ends the quarantine. */
  clear(): void {
    for (const start of this.counted.keys()) this.cleared.add(start);
    this.counted.clear();
    this.quarantinedAt = undefined;
    this.isSettledElsewhere = false;
    for (const start of this.cleared) {
      if (this.cleared.size <= MAX_CRASHES) break;
      this.cleared.delete(start);
    }
  }
}
