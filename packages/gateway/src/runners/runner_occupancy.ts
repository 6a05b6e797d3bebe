import type {HeldWork} from './held_work.js';

/** Weight of one request in the means. */
const MEAN_WEIGHT = 0.1;

/** What the requests in flight take up at a runner: those of this host exactly, those of other hosts by the mean. */
export class RunnerOccupancy {
  private ownSlotMs = 0;
  private ownTokens = 0;
  private meanTokens = 0;
  private meanSlot = 0;

  /** Mean slot time of this host's requests at the runner, in ms; 0 until there was one. */
  get meanSlotMs(): number {
    return this.meanSlot;
  }

  add({slotMs, memoryTokens}: HeldWork): void {
    this.ownSlotMs += slotMs;
    this.ownTokens += memoryTokens;
    this.meanSlot = updateMean(this.meanSlot, slotMs);
    this.meanTokens = updateMean(this.meanTokens, memoryTokens);
  }

  remove({slotMs, memoryTokens}: HeldWork): void {
    this.ownSlotMs = Math.max(0, this.ownSlotMs - slotMs);
    this.ownTokens = Math.max(0, this.ownTokens - memoryTokens);
  }

  /**
   * Slot time of all unfinished requests, in ms.
   *
   * @param peerRunning requests of other hosts
   */
  totalSlotMs(peerRunning: number): number {
    return this.ownSlotMs + peerRunning * this.meanSlot;
  }

  /** Memory of all requests in flight, in tokens; the parameter is the same. */
  totalTokens(peerRunning: number): number {
    return this.ownTokens + peerRunning * this.meanTokens;
  }
}

/** The first sample sets the mean. */
function updateMean(mean: number, sample: number): number {
  return mean === 0 ? sample : mean + MEAN_WEIGHT * (sample - mean);
}
