import type {Clock} from '@bayspool/kernel';
import type {RoomChange} from './room_change.js';
import type {RoomObservation} from './room_observation.js';

interface Options {
  readonly clock: Clock;
  /** Requests that the runner processes at the same time. */
  readonly slots: () => number;
  /** Called when this host or another one learns of less room, or that the runner is brittle at all. */
  readonly onChange?: (change: RoomChange) => void;
}

/** The room that was found, and how it is believed to grow since. */
interface FoundRoom {
  readonly room: number;
  readonly at: number;
  readonly growthMs: number;
}

/** Factor by which a rejection lowers the number of requests that the runner is believed to have room for. */
const REJECTION_FACTOR = 0.5;
/** Time without a rejection after which that number grows by one, in ms, before the first and after a rejection. */
const GROWTH_MS = {FIRST: 500, MIN: 2_000, MAX: 8_000};
/** Factor by which growth becomes slower when the room turns out not to have grown. */
const GROWTH_FACTOR = 2;
/** Rejections that follow one another within this time come from the same excess, in ms. */
const SAME_EXCESS_MS = 250;
/** The time over which the runner counts its rejections, in ms. */
const WINDOW_MS = 1_000;
/** Time without a rejection after which hosts without a share may risk one at a runner that bears next to none, in ms. */
const RISK_PAUSE_MS = 4_000;

/** What is known of the room at a runner that states that it fails if it rejects too many requests. */
export class Brittleness {
  private statedAt: number | undefined;
  private limit = 0;
  private found: FoundRoom = {room: 1, at: -Infinity, growthMs: 1};
  /** When the runner last rejected a request of this host. */
  private rejectedAt = -Infinity;
  /** Number of hosts that shared the room then, at most. */
  private sharersThen = 1;
  private reducedAt = -Infinity;
  /** Rejections of any host that this one knows, within the window. */
  private rejections: number[] = [];

  constructor(private readonly options: Options) {}

  /** Rejections in a second above which the runner fails; undefined if it states none. */
  get perSecond(): number | undefined {
    return this.statedAt === undefined ? undefined : this.limit;
  }

  /** Time since the runner last stated it, in ms. */
  get ageMs(): number {
    const now = this.options.clock.now();
    return now - (this.statedAt ?? now);
  }

  /**
   * Whether a host without a share may use room that seems to be free. It may be wrong, as others may do so at the same time, so that
   * a runner that bears few rejections has to have rejected nothing for longer.
   */
  get canRiskRejection(): boolean {
    if (!this.bearsFew) return true;
    return this.options.clock.now() - this.reducedAt >= RISK_PAUSE_MS;
  }

  /** Requests of all hosts together for which the runner is believed to have room. */
  get room(): number {
    const room = this.found.room + this.grownBy;
    return Math.max(1, Math.min(this.options.slots(), room));
  }

  /** Whether a second rejection within the window is too many, so that hosts that do not know of each other's can't share the room. */
  get bearsFew(): boolean {
    return this.knownBeforePause === 1;
  }

  /**
   * Computes the time until this host may send the runner anything, in ms; 0 if it may now.
   *
   * @param hosts number of hosts that may send to the runner
   */
  computePauseLeftMs(hosts: number): number {
    return Math.max(
      0,
      this.computeOwnPauseLeftMs(hosts),
      this.sharedPauseLeftMs,
    );
  }

  /**
   * Updates the statement from a response; it ends with the first response that lacks it.
   *
   * @param running requests of all hosts that the runner is known to have had room for
   */
  updateFromResponse(perSecond: number | undefined, running: number): void {
    if (perSecond === undefined) return this.forget();
    const isNew = this.statedAt === undefined;
    const now = this.options.clock.now();
    this.statedAt = now;
    this.limit = perSecond;
    if (!isNew) return;
    this.found = this.bearsFew
      ? {room: Math.max(1, running), at: now, growthMs: GROWTH_MS.FIRST}
      : {room: this.options.slots(), at: now, growthMs: GROWTH_MS.MIN};
    this.report({isRejection: false, isFromPeer: false});
  }

  /** Notes that the runner rejected a request of this host for want of room. */
  noteRejected(): void {
    if (this.statedAt === undefined) return;
    const previous = this.room;
    const now = this.options.clock.now();
    this.addRejection(now);
    this.rejectedAt = now;
    const isSameExcess = now - this.reducedAt < SAME_EXCESS_MS;
    if (!this.bearsFew || !isSameExcess) this.reduce();
    this.report({isRejection: true, isFromPeer: false, previous});
  }

  /** Applies what another host found, unless this host knows better. */
  updateFromPeer(observation: RoomObservation): void {
    const {perSecond, room, growthMs, isRejection, ageMs} = observation;
    const isNew = this.statedAt === undefined;
    if (!isNew && !isRejection) return;
    const previous = isNew ? undefined : this.room;
    const at = this.options.clock.now() - ageMs;
    if (isNew) {
      this.statedAt = at;
      this.limit = perSecond;
    }
    if (isRejection) this.addRejection(at);
    if (!isNew && !this.bearsFew) return;
    const isSameExcess = Math.abs(at - this.reducedAt) < SAME_EXCESS_MS;
    const isNewer = !isSameExcess && at >= this.found.at;
    const lower = Math.min(room, this.found.room);
    this.found = isNewer ? {room, at, growthMs} : {...this.found, room: lower};
    if (isRejection) this.reducedAt = Math.max(at, this.reducedAt);
    this.report({isRejection, isFromPeer: true, previous});
  }

  private get grownBy(): number {
    const {at, growthMs} = this.found;
    const grownBy = Math.floor((this.options.clock.now() - at) / growthMs);
    return Number.isFinite(grownBy) ? grownBy : 0;
  }

  /** Holds also if no other host hears of a rejection: the hosts that share the room cause no more than the runner bears. */
  private computeOwnPauseLeftMs(hosts: number): number {
    const sharers = this.bearsFew ? Math.min(hosts, this.sharersThen) : hosts;
    const turns = Math.max(1, sharers / Math.max(1, this.limit));
    return this.rejectedAt + WINDOW_MS * turns - this.options.clock.now();
  }

  private get sharedPauseLeftMs(): number {
    const known = this.listRecentRejections();
    const allowed = this.knownBeforePause;
    if (known.length < allowed) return 0;
    const oldest = known[known.length - allowed];
    return oldest + WINDOW_MS - this.options.clock.now();
  }

  /** Rejections within the window that may be known before hosts stop sending. */
  private get knownBeforePause(): number {
    return Math.max(1, Math.floor(this.limit));
  }

  private addRejection(at: number): void {
    this.rejections = [...this.listRecentRejections(), at];
  }

  private listRecentRejections(): readonly number[] {
    const from = this.options.clock.now() - WINDOW_MS;
    if (this.rejections.some(at => at <= from))
      this.rejections = this.rejections.filter(at => at > from);
    return this.rejections;
  }

  private reduce(): void {
    const now = this.options.clock.now();
    this.sharersThen = this.room;
    this.found = this.bearsFew
      ? this.findLessRoom(now)
      : {
          room: Math.floor(this.room * REJECTION_FACTOR),
          at: now,
          growthMs: GROWTH_MS.MIN,
        };
    this.reducedAt = now;
  }

  private findLessRoom(at: number): FoundRoom {
    const {MIN, MAX} = GROWTH_MS;
    const {growthMs, room} = this.found;
    // What was found before has held for a while: only the growth by one was too much.
    if (this.grownBy === 1) {
      const slowerMs = Math.max(MIN, Math.min(MAX, growthMs * GROWTH_FACTOR));
      return {room, at, growthMs: slowerMs};
    }
    const less = Math.ceil(this.room * REJECTION_FACTOR);
    return {room: less, at, growthMs: MIN};
  }

  private forget(): void {
    this.statedAt = undefined;
    this.rejections = [];
    this.rejectedAt = -Infinity;
    this.reducedAt = -Infinity;
  }

  private report(
    change: Pick<RoomChange, 'isRejection' | 'isFromPeer' | 'previous'>,
  ): void {
    const {room, growthMs} = this.found;
    const {ageMs, limit: perSecond} = this;
    const seenMs = change.isRejection ? 0 : ageMs;
    this.options.onChange?.({
      ...change,
      perSecond,
      room,
      growthMs,
      ageMs: seenMs,
    });
  }
}
