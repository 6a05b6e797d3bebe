import type {Clock} from '@bayspool/kernel';
import type {AvailabilityChange} from './availability_change.js';
import type {RunnerStatement} from './runner_statement.js';

/** A time for which the runner asked this host to send it nothing. */
interface Rest {
  /** When the runner asked for it, on this host's clock. */
  readonly askedAt: number;
  readonly forMs: number;
}

interface Options {
  readonly clock: Clock;
  /** Called on each change, and on a malformed statement that differs from the one before. */
  readonly onChange?: (change: AvailabilityChange) => void;
}

/** Whether one incarnation of a runner takes requests from this host, by its own statements. */
export class StatedAvailability {
  private leavingStatedAt: number | undefined;
  private lastRest: Rest | undefined;
  private lastMalformed: string | undefined;

  constructor(private readonly options: Options) {}

  /** Whether the runner will end soon and takes no new requests; this never ends for an incarnation. */
  get isLeaving(): boolean {
    return this.leavingStatedAt !== undefined;
  }

  /** Time since this host learned that the runner is leaving, in ms; 0 if it is not. */
  get leavingAgeMs(): number {
    const now = this.options.clock.now();
    return now - (this.leavingStatedAt ?? now);
  }

  /** The rest that ends last of those that the runner asked this host for; undefined if it asked for none. */
  get rest(): {readonly forMs: number; readonly ageMs: number} | undefined {
    if (!this.lastRest) return undefined;
    const {askedAt, forMs} = this.lastRest;
    return {forMs, ageMs: this.options.clock.now() - askedAt};
  }

  /** Time until the runner takes requests from this host again, in ms; 0 if it does. */
  get restLeftMs(): number {
    if (!this.lastRest) return 0;
    const {askedAt, forMs} = this.lastRest;
    return Math.max(0, askedAt + forMs - this.options.clock.now());
  }

  /** Updates the availability from the headers of a response. */
  updateFromResponse({leaving, rest, brittle}: RunnerStatement): void {
    this.reportMalformed(
      leaving.malformed ?? rest.malformed ?? brittle.malformed,
    );
    if (leaving.isLeaving) this.markLeaving();
    if (rest.forMs !== undefined) this.extendRest(rest.forMs);
  }

  /** Notes that another host knows that the runner is leaving. */
  noteLeavingAtPeer(): void {
    this.markLeaving(true);
  }

  private markLeaving(isFromPeer = false): void {
    if (this.isLeaving) return;
    this.leavingStatedAt = this.options.clock.now();
    this.options.onChange?.({isLeaving: true, isFromPeer});
  }

  private extendRest(forMs: number): void {
    if (forMs <= this.restLeftMs) return;
    this.lastRest = {askedAt: this.options.clock.now(), forMs};
    this.options.onChange?.({restMs: forMs});
  }

  private reportMalformed(malformed: string | undefined): void {
    if (malformed === undefined || malformed === this.lastMalformed) return;
    this.lastMalformed = malformed;
    this.options.onChange?.({malformed});
  }
}
