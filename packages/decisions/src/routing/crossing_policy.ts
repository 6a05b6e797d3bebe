interface Options {
  /** Load over slots at home above which crossing begins. */
  readonly startLoad?: number;
  /** Load over slots at home below which it ends. */
  readonly stopLoad?: number;
  /** The load over slots of the other place that crossing work may not push it above. */
  readonly maxTargetLoad?: number;
}

const START_LOAD = 1.2;
const STOP_LOAD = 0.8;
const MAX_TARGET_LOAD = 0.8;

/**
 * Whether new work may cross from a place to another. It begins at a higher load
 * than it ends, so that it does not flutter, and it leaves the other place room
 * for its own work.
 */
export class CrossingPolicy {
  private readonly crossingHomes = new Set<string>();
  private readonly startLoad: number;
  private readonly stopLoad: number;
  private readonly maxTargetLoad: number;

  constructor(options: Options = {}) {
    this.startLoad = options.startLoad ?? START_LOAD;
    this.stopLoad = options.stopLoad ?? STOP_LOAD;
    this.maxTargetLoad = options.maxTargetLoad ?? MAX_TARGET_LOAD;
  }

  /** @param homeLoad Load over slots at home; infinite when no runner there is fit. */
  mayCross(home: string, homeLoad: number, otherLoad: number): boolean {
    if (homeLoad >= this.startLoad) this.crossingHomes.add(home);
    if (homeLoad <= this.stopLoad) this.crossingHomes.delete(home);
    return this.crossingHomes.has(home) && otherLoad < this.maxTargetLoad;
  }
}
