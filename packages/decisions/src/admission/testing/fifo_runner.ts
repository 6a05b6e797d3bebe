import type {Clock} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
  readonly slots: number;
  readonly maxQueued: number;
}

interface Work {
  readonly workMs: number;
  readonly onEnd: () => void;
}

/** A plain runner with slots and a queue in order of arrival. */
export class FifoRunner {
  private readonly queue: Work[] = [];
  private running = 0;

  constructor(private readonly options: Options) {}

  /** Free slots; negative if work waits. */
  get spare(): number {
    return this.options.slots - this.running - this.queue.length;
  }

  private get freeSlots(): number {
    return this.options.slots - this.running;
  }

  /** @returns false if the runner is full and rejects the work */
  accept(work: Work): boolean {
    if (this.freeSlots === 0 && this.queue.length >= this.options.maxQueued)
      return false;
    this.queue.push(work);
    this.startNext();
    return true;
  }

  private startNext(): void {
    if (this.freeSlots === 0) return;
    const work = this.queue.shift();
    if (!work) return;
    this.running++;
    this.options.clock.after(work.workMs, () => {
      this.running--;
      work.onEnd();
      this.startNext();
    });
  }
}
