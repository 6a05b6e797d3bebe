import {
  emptyConfiguration,
  type Configuration,
  type IntentVerdict,
} from '@bayspool/decisions';
import type {Clock} from '@bayspool/kernel';

type Listener = (config: Configuration) => void;

/** Holds the configuration in force at this host. Its offset only increases. */
export class ConfigurationStore {
  private config: Configuration = emptyConfiguration;
  private readonly listeners = new Set<Listener>();

  constructor(private readonly clock: Clock) {}

  get current(): Configuration {
    return this.config;
  }

  /** Whether a configuration has been read. */
  get isReady(): boolean {
    return this.config.offset >= 0;
  }

  /** Applies a newer state; returns false and ignores one that is not newer. */
  advance(next: Configuration): boolean {
    if (next.offset <= this.config.offset) return false;
    this.config = next;
    for (const listener of [...this.listeners]) listener(next);
    return true;
  }

  /** Calls `listener` after each change. Returns a function that unsubscribes it. */
  subscribe(listener: Listener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  findVerdict(intentId: string): IntentVerdict | undefined {
    return this.config.verdicts.find(verdict => verdict.intentId === intentId);
  }

  /** Waits until the intent's record has been folded; resolves to undefined after `timeoutMs`. */
  waitForVerdict(
    intentId: string,
    timeoutMs: number,
  ): Promise<IntentVerdict | undefined> {
    const known = this.findVerdict(intentId);
    if (known) return Promise.resolve(known);
    return new Promise(resolve => {
      const finish = (verdict?: IntentVerdict) => {
        timer.cancel();
        unsubscribe();
        resolve(verdict);
      };
      const timer = this.clock.after(timeoutMs, () => finish());
      const unsubscribe = this.subscribe(() => {
        const verdict = this.findVerdict(intentId);
        if (verdict) finish(verdict);
      });
    });
  }
}
