import type {Clock} from './clock.js';
import type {Timer} from './timer.js';

interface Entry {
  readonly due: number;
  readonly order: number;
  readonly action: () => void;
}

/** A clock that moves only when told to; for tests and fuzzing. */
export class VirtualClock implements Clock {
  private time = 0;
  private order = 0;
  private readonly entries = new Set<Entry>();

  now(): number {
    return this.time;
  }

  wall(): number {
    return this.time;
  }

  after(delayMs: number, action: () => void): Timer {
    const entry = {due: this.time + delayMs, order: this.order++, action};
    this.entries.add(entry);
    return {cancel: () => this.remove(entry)};
  }

  /** Moves time on by `ms`, running what falls due in the order of its due time. */
  advance(ms: number): void {
    const end = this.time + ms;
    for (;;) {
      const next = this.nextDue(end);
      if (!next) break;
      this.remove(next);
      this.time = Math.max(this.time, next.due);
      next.action();
    }
    this.time = end;
  }

  /** The same, letting what each call set off settle before the next one is made. */
  async advanceSettled(ms: number): Promise<void> {
    const end = this.time + ms;
    await settle();
    for (;;) {
      const next = this.nextDue(end);
      if (!next) break;
      this.remove(next);
      this.time = Math.max(this.time, next.due);
      next.action();
      await settle();
    }
    this.time = end;
  }

  private nextDue(end: number): Entry | undefined {
    let next: Entry | undefined;
    for (const entry of this.entries) {
      if (entry.due <= end && (!next || isBefore(entry, next))) next = entry;
    }
    return next;
  }

  private remove(entry: Entry): void {
    this.entries.delete(entry);
  }
}

function isBefore(a: Entry, b: Entry): boolean {
  return a.due < b.due || (a.due === b.due && a.order < b.order);
}

/** Promises that are ready settle before the next turn of the event loop. */
function settle(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
