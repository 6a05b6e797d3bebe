interface Options {
  /** Load per slot in the home place at which crossing starts. */
  readonly startLoad?: number;
  /** Load per slot in the home place at which crossing stops. */
  readonly stopLoad?: number;
  /** Load per slot in the other place at which it gets no more crossing requests. */
  readonly maxTargetLoad?: number;
}

const START_LOAD = 1.2;
const STOP_LOAD = 0.8;
const MAX_TARGET_LOAD = 0.8;

/**
 * Decides whether new requests may cross from their home place to another place. Crossing starts at a
 * higher load than it stops at (hysteresis), so that it does not oscillate, and it leaves the other
 * place capacity for its own requests.
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

  /** @param homeLoad Load per slot in the home place; infinite when no runner there is healthy. */
  mayCross(home: string, homeLoad: number, otherLoad: number): boolean {
    if (homeLoad >= this.startLoad) this.crossingHomes.add(home);
    if (homeLoad <= this.stopLoad) this.crossingHomes.delete(home);
    return this.crossingHomes.has(home) && this.hasRoom(otherLoad);
  }

  /** Whether the other place has capacity left for crossing requests, whatever the reason they cross for. */
  hasRoom(otherLoad: number): boolean {
    return otherLoad < this.maxTargetLoad;
  }
}
