import type {Clock} from '@bayspool/kernel';
import {RetryReservation} from './retry_reservation.js';
import {BucketedCounter} from './bucketed_counter.js';

/** Part of the ratio that the hosts use together, so that calls and repeats which are counted late stay within it. */
const USED_RATIO_PART = 0.95;
/** Part of the fixed allowance that hosts share which have run for a window. */
const SHARED_ALLOWANCE_PART = 0.47;
/**
 * Part of the fixed allowance that they share besides for answers that have begun: without a repeat their callers hold a
 * part of an answer and a closed connection. What is left covers late counts while there are few calls, and starts.
 */
const PARTIAL_ANSWER_ALLOWANCE_PART = 0.3;
/** The most that a host which has just started takes of either part: repeats besides those that its calls earn. */
const STARTUP_MAX = {ALLOWANCE: 0.5, PARTIAL_ANSWER_ALLOWANCE: 1};
/** Repeats that a host which has just started may send at once: its first call of a service is tried three times. */
const STARTUP_RETRIES = 2;
/**
 * Part of the calls that is counted half a window earlier, so that calls which are under way when runners end pay for
 * repeats at once. The same at all hosts: else their sum could pass the bound, which takes one of the two for all.
 */
const EARLIER_CALLS_PART = 0.2;
/** Parts of the window that are counted one by one. */
const BUCKETS = 40;
const HALF_WINDOW_BUCKETS = BUCKETS / 2;

/** What a repeat is for. */
interface RetryPurpose {
  /** Whether the caller holds a part of the answer. */
  readonly hasPartialAnswer: boolean;
}

/** What was counted within the window, and what this host believes. */
interface WindowCounts {
  /** Calls taken from callers. */
  readonly calls: number;
  readonly retries: number;
  /** Hosts that share the allowance. */
  readonly hosts: number;
}

interface Options {
  readonly clock: Clock;
  /** When this host started, on its clock. */
  readonly startedAt: number;
  /** Repeats allowed per first attempt, over all hosts; asked each time, as settings change. */
  readonly ratio: () => number;
  /** Repeats allowed besides, over all hosts. */
  readonly extra: () => number;
  readonly windowMs: number;
  /** Most hosts that this one ever took to live, itself included: those it lost may be behind a cut, and spend too. */
  readonly hosts: () => number;
}

/**
 * The part of a service's retry budget that this host may spend. The parts of all hosts sum to less than the bound whatever they
 * believe of each other, as nearly all of it is earned by calls that the host took itself: in each window that has begun,
 * its repeats stay below the ratio of its calls in that window and in the one half a window earlier. A host that started
 * gets its part of the fixed allowance only when it has run for a window, as its last life may have spent it.
 */
export class SharedRetryBudget {
  private readonly calls: BucketedCounter;
  private readonly retries: BucketedCounter;
  private reserved = 0;

  constructor(private readonly options: Options) {
    const {clock, windowMs} = options;
    const sliceMs = windowMs / BUCKETS;
    this.calls = new BucketedCounter({
      clock,
      bucketMs: sliceMs,
      bucketCount: BUCKETS + HALF_WINDOW_BUCKETS,
    });
    this.retries = new BucketedCounter({
      clock,
      bucketMs: sliceMs,
      bucketCount: BUCKETS + 1,
    });
  }

  /** Notes a call taken from a caller. */
  recordCall(): void {
    this.calls.increment();
  }

  /** Room for one repeat, to be spent as it is sent or released; undefined if there is none. */
  reserve(purpose: RetryPurpose): RetryReservation | undefined {
    if (!this.canReserve(purpose)) return undefined;
    this.reserved += 1;
    return new RetryReservation({
      onSpend: () => this.spend(purpose),
      onRelease: () => {
        this.reserved -= 1;
      },
    });
  }

  /** What {@link remaining} goes by. */
  get windowCounts(): WindowCounts {
    return {
      calls: sumLatest(this.calls.latestFirst(), BUCKETS),
      retries: sumLatest(this.retries.latestFirst(), BUCKETS + 1),
      hosts: this.options.hosts(),
    };
  }

  /** Repeats that may still be sent now, those that are about to be sent taken off. */
  get remaining(): number {
    const share = this.hostShareOf(SHARED_ALLOWANCE_PART);
    const room = this.isInFirstWindow
      ? Math.max(
          this.earnedRetries + Math.min(STARTUP_MAX.ALLOWANCE, share),
          this.startupAllowance,
        )
      : this.earnedRetries + share;
    return room - this.reserved;
  }

  private spend(purpose: RetryPurpose): boolean {
    if (!this.canReserve(purpose)) return false;
    this.retries.increment();
    return true;
  }

  private canReserve({hasPartialAnswer: hasBegun}: RetryPurpose): boolean {
    return this.remaining + (hasBegun ? this.partialAnswerAllowance : 0) >= 1;
  }

  private get partialAnswerAllowance(): number {
    const share = this.hostShareOf(PARTIAL_ANSWER_ALLOWANCE_PART);
    return this.isInFirstWindow
      ? Math.min(STARTUP_MAX.PARTIAL_ANSWER_ALLOWANCE, share)
      : share;
  }

  /** What the first calls of a host that has just started may use, before they have earned it. */
  private get startupAllowance(): number {
    const {calls: firsts, retries: repeats} = this.windowCounts;
    if (firsts === 0) return 0;
    return (
      Math.min(STARTUP_RETRIES, this.hostShareOf(SHARED_ALLOWANCE_PART)) -
      repeats
    );
  }

  private get isInFirstWindow(): boolean {
    const {clock, startedAt, windowMs} = this.options;
    return clock.now() - startedAt < windowMs;
  }

  /** This host's part of the fixed allowance, or of a part of that. */
  private hostShareOf(part: number): number {
    const {extra, hosts} = this.options;
    return (extra() * part) / Math.max(1, hosts());
  }

  /** What the calls taken leave for repeats: the least over all windows that a repeat sent now would be in. */
  private get earnedRetries(): number {
    const firsts = this.calls.latestFirst();
    const repeats = this.retries.latestFirst();
    const perFirst = this.options.ratio() * USED_RATIO_PART;
    let least = Infinity;
    let repeated = 0;
    // Only slices that are wholly in a window that begins anywhere in its first slice.
    let within = 0;
    let earlier = sumLatest(firsts, HALF_WINDOW_BUCKETS - 1);
    for (let begin = 0; begin <= BUCKETS; begin++) {
      repeated += repeats[begin];
      if (begin > 0) within += firsts[begin - 1];
      earlier += firsts[begin + HALF_WINDOW_BUCKETS - 1];
      if (begin >= HALF_WINDOW_BUCKETS)
        earlier -= firsts[begin - HALF_WINDOW_BUCKETS];
      const paying = within + (earlier - within) * EARLIER_CALLS_PART;
      const left = paying * perFirst - repeated;
      if (left < least) least = left;
    }
    return least;
  }
}

/** The sum of the first counts; a plain loop, as it is asked for each call. */
function sumLatest(counts: readonly number[], length: number): number {
  let total = 0;
  for (let i = 0; i < length; i++) total += counts[i];
  return total;
}
