import type {Clock} from '@bayspool/kernel';
import type {LimitChange} from './limit_change.js';
import type {LimitHeader} from './limit_header.js';

interface Options {
  readonly clock: Clock;
  /** Called when what is believed has changed. */
  readonly onChange?: (change: LimitChange) => void;
}

/** How many requests a second one start of a runner takes from all hosts together, as its answers say. */
export class DeclaredLimit {
  private current: number | undefined;
  /** As of when that is known, on this host's clock. */
  private asOf = -Infinity;
  /** Latest time at which a request was sent whose answer named no limit. */
  private absentAsOf = -Infinity;
  private lastMalformed: string | undefined;

  constructor(private readonly options: Options) {}

  /** Requests a second; undefined if it names no limit. */
  get perSecond(): number | undefined {
    return this.current;
  }

  /** Time since it was last heard to say so, in ms. */
  get ageMs(): number {
    return this.options.clock.now() - this.asOf;
  }

  /** Takes in what the head of an answer says, which came at a time on the host's clock, to a request sent before. */
  updateFromResponse(word: LimitHeader, sentAt: number, headAt: number): void {
    this.reportMalformed(word);
    if (word.perSecond !== undefined) {
      this.asOf = headAt;
      return this.set(word.perSecond);
    }
    // An answer that was under way when the limit was named says nothing of the time after.
    this.absentAsOf = Math.max(this.absentAsOf, sentAt);
    if (this.current === undefined || sentAt < this.asOf) return;
    this.asOf = sentAt;
    this.set(undefined);
  }

  /** Takes in what another host heard, as of a time on this host's clock. */
  updateFromPeer(perSecond: number | undefined, asOf: number): void {
    if (asOf <= Math.max(this.asOf, this.absentAsOf)) return;
    this.asOf = asOf;
    this.set(perSecond, true);
  }

  private reportMalformed({malformed}: LimitHeader): void {
    if (malformed !== undefined && malformed !== this.lastMalformed)
      this.options.onChange?.({malformed, ageMs: 0});
    this.lastMalformed = malformed;
  }

  private set(perSecond: number | undefined, isTold = false): void {
    const previous = this.current;
    if (perSecond === previous) return;
    this.current = perSecond;
    const {ageMs} = this;
    this.options.onChange?.({perSecond, previous, isFromPeer: isTold, ageMs});
  }
}
