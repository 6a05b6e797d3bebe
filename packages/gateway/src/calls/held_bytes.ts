import type {Clock} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {GrowingResponse} from './growing_response.js';
import {HeldAmount} from './held_amount.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  /** Maximum of all amounts, in bytes. */
  readonly maxBytes: () => number;
}

/** Share of the maximum from which the host is near its bound, and below which it no longer is. */
const NEAR_SHARE = 0.8;
const LEFT_SHARE = 0.6;
/** Share of the maximum that calls of the second most urgent priority may use, and what each further one may use less. */
const SECOND_SHARE = 0.9;
const SHARE_STEP = 0.05;
/** A smaller response is not given up, in bytes: it would make little room. Most responses are a few KB. */
const LEAST_GIVEN_UP = 1_048_576;

/**
 * Sums the bytes that this host holds for slow readers: request bodies, buffered responses, and what callers have not
 * taken yet. Near the bound, sources that would add to it are paused, all but one: what it waits for may be held
 * by the others, so that none could go on. Responses that grow without a stated length are given up, the largest first,
 * before a call is refused or a source waits for one of them.
 */
export class HeldBytes {
  private sum = 0;
  private nearSince: number | undefined;
  private favoured: HeldAmount | undefined;
  private readonly waiting = new Map<HeldAmount, () => void>();
  private readonly growing = new Map<HeldAmount, GrowingResponse>();

  constructor(private readonly options: Options) {}

  /** Sum of all amounts, in bytes. */
  get bytes(): number {
    return this.sum;
  }

  get maxBytes(): number {
    return this.options.maxBytes();
  }

  /** Whether so much is held that the least urgent calls are rejected. */
  get isNearBound(): boolean {
    return this.nearSince !== undefined;
  }

  /** Whether a call of this priority (0 is the most urgent) with a request body of this size may be accepted. */
  canAccept(priority: number, bodyBytes: number): boolean {
    return this.sum + bodyBytes <= this.maxBytes * shareOf(priority);
  }

  /**
   * The same, once responses that grow without a stated length have been given up as far as it takes; none is if that
   * would not be enough.
   */
  makeRoom(priority: number, bodyBytes: number): boolean {
    if (this.canAccept(priority, bodyBytes)) return true;
    const bytesAtBest = bodyBytes - this.sumGivable();
    if (!this.canAccept(priority, bytesAtBest)) return false;
    while (!this.canAccept(priority, bodyBytes))
      if (!this.giveUpLargest()) return false;
    return true;
  }

  /** Notes that an amount grows without a stated length; for {@link HeldAmount}. */
  addGrowing(amount: HeldAmount, response: GrowingResponse): void {
    this.growing.set(amount, response);
  }

  /** Returns a new amount, of 0 bytes. */
  hold(): HeldAmount {
    return new HeldAmount(this);
  }

  /** Adds to the sum; for {@link HeldAmount}. */
  add(bytes: number): void {
    this.sum += bytes;
    const share = this.sum / this.maxBytes;
    if (this.nearSince === undefined && share >= NEAR_SHARE) this.enterNear();
    else if (this.nearSince !== undefined && share < LEFT_SHARE)
      this.leaveNear(this.nearSince);
  }

  /** Whether a source now has to begin to wait before it adds to its amount; `resume` is called when it may go on. */
  mustWait(amount: HeldAmount, resume: () => void): boolean {
    if (!this.isNearBound || this.waiting.has(amount)) return false;
    this.favoured ??= amount;
    if (this.favoured === amount) return false;
    if (this.replacesFavoured(amount)) return false;
    this.waiting.set(amount, resume);
    return true;
  }

  /** Lets a source whose end is known go on in place of one that may never end, which is given up. */
  private replacesFavoured(amount: HeldAmount): boolean {
    const {favoured, growing} = this;
    if (!favoured || growing.has(amount)) return false;
    const response = growing.get(favoured);
    if (!response || favoured.size < LEAST_GIVEN_UP) return false;
    this.favoured = amount;
    response.giveUp();
    return true;
  }

  /** Forgets an amount that has been released, and lets the next source go on in its place. */
  forget(amount: HeldAmount): void {
    this.waiting.delete(amount);
    this.growing.delete(amount);
    if (this.favoured !== amount) return;
    this.favoured = undefined;
    for (const [next, resume] of this.waiting) {
      this.favoured = next;
      this.waiting.delete(next);
      return resume();
    }
  }

  /**
   * Gives up a growing response: the largest one of a runner that fails, or else the largest one.
   *
   * @returns false if there is none
   */
  private giveUpLargest(): boolean {
    const all = this.listGivable();
    const doubtful = all.filter(([, response]) => !response.isVouchedFor());
    const candidates = doubtful.length > 0 ? doubtful : all;
    if (candidates.length === 0) return false;
    const [, largest] = candidates.reduce((a, b) =>
      b[0].size > a[0].size ? b : a,
    );
    largest.giveUp();
    return true;
  }

  private listGivable(): ReadonlyArray<readonly [HeldAmount, GrowingResponse]> {
    return [...this.growing].filter(([{size}]) => size >= LEAST_GIVEN_UP);
  }

  /** What could be given up, in bytes. */
  private sumGivable(): number {
    return this.listGivable().reduce((sum, [{size}]) => sum + size, 0);
  }

  private enterNear(): void {
    this.nearSince = this.options.clock.now();
    const {sum: bytes, maxBytes} = this;
    this.options.log.write('memory_bound_near', {bytes, maxBytes});
  }

  private leaveNear(since: number): void {
    const {clock, log} = this.options;
    const {sum: bytes, maxBytes} = this;
    this.nearSince = undefined;
    this.favoured = undefined;
    const resumes = [...this.waiting.values()];
    this.waiting.clear();
    log.write('memory_bound_left', {
      bytes,
      maxBytes,
      paused: resumes.length,
      forMs: Math.round(clock.now() - since),
    });
    for (const resume of resumes) resume();
  }
}

function shareOf(priority: number): number {
  if (priority <= 0) return 1;
  return Math.max(NEAR_SHARE, SECOND_SHARE - (priority - 1) * SHARE_STEP);
}
