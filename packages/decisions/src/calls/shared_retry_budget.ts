import type {Clock} from '@bayspool/kernel';
import {RetryPurpose} from './retry_purpose.js';
import {RetryReservation} from './retry_reservation.js';
import {BucketedCounter} from './bucketed_counter.js';
import type {Membership} from './membership.js';
import type {RetryCounts} from './retry_counts.js';

/**
 * Part of the ratio that all hosts together use, so that calls and retries counted late stay within
 * the bound.
 */
const USED_RATIO_PART = 0.95;
/** Part of the fixed allowance shared by the hosts that have run for a window. */
const SHARED_ALLOWANCE_PART = 0.47;
/**
 * Part of the fixed allowance shared in addition for responses that have begun: without a retry
 * their callers are left with a partial response and a closed connection. The rest covers late
 * counts at low call rates, and restarts.
 */
const PARTIAL_RESPONSE_ALLOWANCE_PART = 0.3;
/**
 * Maximum that a recently started host takes of either part, in retries on top of those that its
 * calls earn.
 */
const STARTUP_MAX = {ALLOWANCE: 0.5, PARTIAL_RESPONSE_ALLOWANCE: 1};
/**
 * Retries that a recently started host may send immediately, so that its first call of a service
 * gets three attempts.
 */
const STARTUP_RETRIES = 2;
/**
 * Part of the calls that is counted half a window earlier, so that calls in flight when runners
 * crash pay for retries immediately. It has to be the same on all hosts; otherwise their sum could
 * exceed the bound, which takes one of the two windows for all of them.
 */
const EARLIER_CALLS_PART = 0.2;
/**
 * Retries by which a host that does not know the number of hosts may exceed what its calls have
 * earned in some window, if its calls of the last window have earned them: in windows that have
 * just begun, a low call rate has earned less than one retry.
 */
const MAX_ADVANCE = 1;
/** Number of buckets in a window. */
const BUCKETS = 40;
const HALF_WINDOW_BUCKETS = BUCKETS / 2;

/**
 * Part of the earned retries that improvements may use, together with retries for all other
 * purposes. The rest is there when runners fail. It is a part of what the calls of all hosts have
 * earned if their counts are known: a host with few calls needs more in one window and less in the
 * next.
 */
const IMPROVEMENT_PART = 0.8;

interface ReserveOptions {
  readonly purpose?: RetryPurpose;
  /** Whether the caller has received part of the response; read if no purpose is given. */
  readonly hasPartialResponse?: boolean;
}

/** Counts within the window, and the number of hosts by which the allowance is divided. */
interface WindowCounts extends RetryCounts {
  /** Hosts that share the allowance; undefined if this host does not know. */
  readonly hosts: number | undefined;
}

interface Options {
  readonly clock: Clock;
  /** Start of this host, on its clock. */
  readonly startedAt: number;
  /** Retries allowed per first attempt, over all hosts; read each time because settings change. */
  readonly ratio: () => number;
  /** Fixed allowance of retries per window, over all hosts. */
  readonly extra: () => number;
  readonly windowMs: number;
  /** What this host knows of the hosts that share the allowance. */
  readonly membership: () => Membership;
  /** Counts of the other hosts in their last window; undefined if they are unknown or too old. */
  readonly peerCounts?: () => RetryCounts | undefined;
}

/**
 * This host's part of a service's retry budget. Nearly all of a part is earned by calls that the
 * host received itself: in every window that has begun, its retries stay below the ratio times its
 * calls in that window and in the one half a window earlier. The fixed allowance is divided by the
 * number of hosts, so a host that does not know this number gets none of it. A restarted host gets
 * its share only after it has run for a window, since it may have spent that share before the
 * restart, and a host whose list of hosts may be incomplete gets no more than a restarted one.
 */
export class SharedRetryBudget {
  private readonly calls: BucketedCounter;
  private readonly retries: BucketedCounter;
  private reserved = 0;

  constructor(private readonly options: Options) {
    const {clock, windowMs} = options;
    const bucketMs = windowMs / BUCKETS;
    this.calls = new BucketedCounter({
      clock,
      bucketMs,
      bucketCount: BUCKETS + HALF_WINDOW_BUCKETS,
    });
    this.retries = new BucketedCounter({
      clock,
      bucketMs,
      bucketCount: BUCKETS + 1,
    });
  }

  /** Records a call received from a caller. */
  recordCall(): void {
    this.calls.increment();
  }

  /**
   * Reserves one retry, which is spent when it is sent or released; undefined if the budget is
   * exhausted.
   */
  reserve(options: ReserveOptions): RetryReservation | undefined {
    const purpose = toPurpose(options);
    if (!this.canReserve(purpose)) return undefined;
    this.reserved += 1;
    // The response that an improvement replaces was dropped when it was reserved.
    const spendPurpose =
      purpose === RetryPurpose.IMPROVEMENT ? RetryPurpose.FAILURE : purpose;
    return new RetryReservation({
      onSpend: () => this.spend(spendPurpose),
      onRelease: () => {
        this.reserved -= 1;
      },
    });
  }

  /** The values that {@link remaining} is based on. */
  get windowCounts(): WindowCounts {
    return {
      calls: sumLatest(this.calls.latestFirst(), BUCKETS),
      retries: sumLatest(this.retries.latestFirst(), BUCKETS + 1),
      hosts: this.options.membership().hosts,
    };
  }

  /** Retries that may still be sent now, without the reserved ones. */
  get remaining(): number {
    return this.allowedOf(1) - this.reserved;
  }

  /** Whether a retry for this purpose could be reserved now. */
  canReserve(purpose: RetryPurpose): boolean {
    return this.remainingFor(purpose) >= 1;
  }

  /**
   * Estimates when calls will have earned a retry for this purpose, in ms, at the call rate of the
   * last window; 0 if it could be reserved now, and undefined without calls.
   */
  estimateWaitMs(purpose: RetryPurpose): number | undefined {
    const missing = 1 - this.remainingFor(purpose);
    if (missing <= 0) return 0;
    const {windowMs} = this.options;
    const earned = this.windowCounts.calls * this.retriesPerCall;
    if (earned === 0) return undefined;
    return Math.max(windowMs / BUCKETS, (missing / earned) * windowMs);
  }

  /** Retries that may still be sent now for this purpose, without the reserved ones. */
  private remainingFor(purpose: RetryPurpose): number {
    switch (purpose) {
      case RetryPurpose.IMPROVEMENT:
        return this.isFleetBelowImprovementPart
          ? this.remaining
          : this.allowedOf(IMPROVEMENT_PART) - this.reserved;
      case RetryPurpose.PARTIAL_RESPONSE:
        return this.remaining + this.partialResponseAllowance;
      case RetryPurpose.FAILURE:
        return this.remaining;
    }
  }

  /** Whether all hosts together have used less of what their calls have earned than improvements may use. */
  private get isFleetBelowImprovementPart(): boolean {
    const peers = this.options.peerCounts?.();
    if (!peers) return false;
    const own = this.windowCounts;
    const earned = (own.calls + peers.calls) * this.retriesPerCall;
    const used = own.retries + peers.retries + this.reserved;
    return used < earned * IMPROVEMENT_PART;
  }

  /** Retries that this host may send if only a part of what its calls earn counts. */
  private allowedOf(part: number): number {
    const {hosts} = this.options.membership();
    const earned = this.computeEarnedRetries(part);
    if (hosts === undefined) return this.limitWithoutShare(earned, part);
    const share = this.hostShareOf(SHARED_ALLOWANCE_PART);
    if (!this.isLimitedToStartup) return earned + share;
    return Math.max(
      earned + Math.min(STARTUP_MAX.ALLOWANCE, share),
      this.startupAllowance,
    );
  }

  /** Retries that this host may send while it does not know how many hosts share the allowance. */
  private limitWithoutShare(earned: number, part: number): number {
    const {calls, retries} = this.windowCounts;
    const unspent = calls * this.retriesPerCall * part - retries;
    return Math.min(earned + MAX_ADVANCE, unspent);
  }

  private spend(purpose: RetryPurpose): boolean {
    if (!this.canReserve(purpose)) return false;
    this.retries.increment();
    return true;
  }

  private get partialResponseAllowance(): number {
    const share = this.hostShareOf(PARTIAL_RESPONSE_ALLOWANCE_PART);
    return this.isLimitedToStartup
      ? Math.min(STARTUP_MAX.PARTIAL_RESPONSE_ALLOWANCE, share)
      : share;
  }

  /** Retries that the first calls of a recently started host may use before they are earned. */
  private get startupAllowance(): number {
    const {calls, retries} = this.windowCounts;
    if (calls === 0) return 0;
    return (
      Math.min(STARTUP_RETRIES, this.hostShareOf(SHARED_ALLOWANCE_PART)) -
      retries
    );
  }

  /** Whether this host takes no more of the fixed allowance than one that has just started. */
  private get isLimitedToStartup(): boolean {
    const {clock, startedAt, windowMs, membership} = this.options;
    const isInFirstWindow = clock.now() - startedAt < windowMs;
    return isInFirstWindow || !membership().isComplete;
  }

  /** This host's share of a part of the fixed allowance; 0 if it does not know how many share it. */
  private hostShareOf(part: number): number {
    const {extra, membership} = this.options;
    const {hosts} = membership();
    return hosts === undefined ? 0 : (extra() * part) / Math.max(1, hosts);
  }

  private get retriesPerCall(): number {
    return this.options.ratio() * USED_RATIO_PART;
  }

  /**
   * Retries that the received calls have earned and not used: the minimum over all windows that
   * would contain a retry sent now.
   *
   * @param part part of the earned retries that counts
   */
  private computeEarnedRetries(part: number): number {
    const calls = this.calls.latestFirst();
    const retries = this.retries.latestFirst();
    const retriesPerCall = this.retriesPerCall * part;
    let least = Infinity;
    let used = 0;
    // Counts only buckets that lie completely in a window that begins anywhere in its first bucket.
    let windowCalls = 0;
    let earlierCalls = sumLatest(calls, HALF_WINDOW_BUCKETS - 1);
    for (let firstBucket = 0; firstBucket <= BUCKETS; firstBucket++) {
      used += retries[firstBucket];
      if (firstBucket > 0) windowCalls += calls[firstBucket - 1];
      earlierCalls += calls[firstBucket + HALF_WINDOW_BUCKETS - 1];
      if (firstBucket >= HALF_WINDOW_BUCKETS)
        earlierCalls -= calls[firstBucket - HALF_WINDOW_BUCKETS];
      const earningCalls =
        windowCalls + (earlierCalls - windowCalls) * EARLIER_CALLS_PART;
      const unused = earningCalls * retriesPerCall - used;
      if (unused < least) least = unused;
    }
    return least;
  }
}

function toPurpose({
  purpose,
  hasPartialResponse = false,
}: ReserveOptions): RetryPurpose {
  if (purpose !== undefined) return purpose;
  return hasPartialResponse
    ? RetryPurpose.PARTIAL_RESPONSE
    : RetryPurpose.FAILURE;
}

/** Sums the latest counts; a plain loop, because it runs for each call. */
function sumLatest(counts: readonly number[], length: number): number {
  let total = 0;
  for (let i = 0; i < length; i++) total += counts[i];
  return total;
}
