import type {Clock} from '@bayspool/kernel';
import type {LimitChange} from './limit_change.js';
import type {LimitHeader} from './limit_header.js';

interface Options {
  readonly clock: Clock;
  /** Called when the limit has changed, or when a response declares an invalid one. */
  readonly onChange?: (change: LimitChange) => void;
}

/** The limit that one incarnation of a runner declares in its responses, in requests per second from all hosts together. */
export class DeclaredLimit {
  private current: number | undefined;
  /** Time of the newest observation of the current limit, on this host's clock. */
  private asOf = -Infinity;
  /** Latest time of sending of a request whose response declared no limit. */
  private absentAsOf = -Infinity;
  private lastMalformed: string | undefined;

  constructor(private readonly options: Options) {}

  /** Requests per second; undefined if the runner declares no limit. */
  get perSecond(): number | undefined {
    return this.current;
  }

  /** Time since the newest observation of the limit, in ms. */
  get ageMs(): number {
    return this.options.clock.now() - this.asOf;
  }

  /** Updates the limit from the headers of a response. Both times are on this host's clock. */
  updateFromResponse(
    header: LimitHeader,
    sentAt: number,
    headAt: number,
  ): void {
    this.reportMalformed(header);
    if (header.perSecond !== undefined) {
      this.asOf = headAt;
      return this.set(header.perSecond);
    }
    // A response to a request sent before the limit was declared says nothing about the time after.
    this.absentAsOf = Math.max(this.absentAsOf, sentAt);
    if (this.current === undefined || sentAt < this.asOf) return;
    this.asOf = sentAt;
    this.set(undefined);
  }

  /** Updates the limit from an observation of another host; `asOf` is on this host's clock. */
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

  private set(perSecond: number | undefined, isFromPeer = false): void {
    const previous = this.current;
    if (perSecond === previous) return;
    this.current = perSecond;
    const {ageMs} = this;
    this.options.onChange?.({perSecond, previous, isFromPeer, ageMs});
  }
}
