import type {Clock, RandomSource} from '@bayspool/kernel';
import {ReservedIntervals} from './reserved_intervals.js';
import type {ReservedStretch} from './reserved_stretch.js';
import type {RetryRequest} from './retry_request.js';
import type {RetryTime} from './retry_time.js';
import {SpareForecast} from './spare_forecast.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** Width of an interval in which work is summed, in ms: below what callers notice. */
const INTERVAL_MS = 100;
/** Number of intervals: 30 s, longer than the longest time limit of calls. */
const INTERVALS = 300;
const HORIZON_MS = INTERVAL_MS * INTERVALS;
/** Shortest time until a retry, in ms; the rejection alone takes a part of it to reach the caller. */
const MIN_RETRY_MS = 150;
/** Longest time for which the present backlog delays retries, in ms: it is an estimate, and no reason to wait for long. */
const MAX_BACKLOG_WAIT_MS = 5_000;
/** Part of each interval that is kept for urgent calls and those with little time left. */
const KEPT_PART = 0.2;
/** Priority of calls that may use the kept part. */
const URGENT_PRIORITY = 0;
/** Time left below which a call may use the kept part, in ms: a later retry would be of no use to its caller. */
const LITTLE_TIME_MS = 1_000;
/** Part of the time that callers have left for which they honour the time that they are told. */
const HONOURED_PART = 1 / 3;
/** Part of a call's work for which there must be capacity before a time, for it to be told to come before that time. */
const MIN_EARLY_PART = 0.5;

/**
 * Tells rejected callers when to retry: at the earliest time for which this host's share of the spare capacity is not
 * promised to others. Responds to bursts above the capacity of a service, of one second to about half a minute.
 */
export class RetrySchedule {
  private readonly forecast: SpareForecast;
  private readonly intervals: ReservedIntervals;

  constructor(private readonly options: Options) {
    const {clock} = options;
    this.forecast = new SpareForecast(clock);
    this.intervals = new ReservedIntervals({
      clock,
      widthMs: INTERVAL_MS,
      count: INTERVALS,
    });
  }

  /** Work for which capacity is reserved, in ms of slot time. */
  get promisedMs(): number {
    return this.intervals.totalMs;
  }

  /** Chooses when a rejected call should be retried, and reserves capacity for it. */
  choose(request: RetryRequest): RetryTime {
    const capacityPerMs = toFinite(request.capacityPerMs);
    const hostShare = Math.min(1, toFinite(request.hostShare));
    const hostPerMs = capacityPerMs * hostShare;
    if (hostPerMs > 0) {
      // The demand contains the calls that return now as they were told.
      const returningPart = this.intervals.presentMs / INTERVAL_MS / hostPerMs;
      const present = request.sparePerMs / capacityPerMs + returningPart;
      this.forecast.addSample(present);
    }
    const {sparePart} = this.forecast;
    const reserved = this.intervals.reserve({
      fromMs: this.findEarliestMs(request),
      workMs: Math.max(1, toFinite(request.workMs)),
      capacityMs: hostPerMs * sparePart * INTERVAL_MS,
      usablePart: isPrivileged(request) ? 1 : 1 - KEPT_PART,
    });
    const isReserved = reserved.length > 0;
    return {
      afterMs: isReserved
        ? this.pickTime(selectEarly(reserved, request))
        : HORIZON_MS * (1 - this.options.random.next() / 2),
      isReserved,
      intervalMs: isReserved ? reserved[0].fromMs : HORIZON_MS,
      promisedMs: this.promisedMs,
      sparePerMs: capacityPerMs * sparePart,
    };
  }

  /** Picks a time at random where capacity is reserved, so that the retries of many hosts don't fall together. */
  private pickTime(stretches: readonly ReservedStretch[]): number {
    let aheadMs = this.options.random.next() * sumWork(stretches);
    const stretch =
      stretches.find(({workMs}) => {
        aheadMs -= workMs;
        return aheadMs < 0;
      }) ?? stretches[stretches.length - 1];
    const {fromMs, toMs, workMs} = stretch;
    return toMs + (toMs - fromMs) * (Math.min(0, aheadMs) / workMs);
  }

  /**
   * Returns when a retry would not meet the present backlog any more, in ms. Spare capacity goes to the backlog first,
   * but urgent calls only wait for the work ahead of them.
   */
  private findEarliestMs(request: RetryRequest): number {
    const {expectedWaitMs} = request;
    const backlogMs = isPrivileged(request)
      ? expectedWaitMs
      : expectedWaitMs / this.forecast.sparePart;
    const waitMs = Number.isNaN(backlogMs) ? 0 : backlogMs;
    return Math.max(MIN_RETRY_MS, Math.min(MAX_BACKLOG_WAIT_MS, waitMs));
  }
}

function isPrivileged({priority, remainingMs}: RetryRequest): boolean {
  return priority <= URGENT_PRIORITY || remainingMs < LITTLE_TIME_MS;
}

/**
 * Selects the reserved stretches in which the caller can still come: within the time for which it waits, or else before
 * its deadline. An urgent call comes early even if the most of its capacity is later, because it is sent first.
 */
function selectEarly(
  reserved: readonly ReservedStretch[],
  request: RetryRequest,
): readonly ReservedStretch[] {
  const {workMs, remainingMs} = request;
  const neededMs = isPrivileged(request) ? 0 : workMs * MIN_EARLY_PART;
  for (const endMs of [remainingMs * HONOURED_PART, remainingMs]) {
    const early = reserved.filter(({toMs}) => toMs <= endMs);
    if (early.length > 0 && sumWork(early) >= neededMs) return early;
  }
  return reserved;
}

function sumWork(stretches: readonly ReservedStretch[]): number {
  return stretches.reduce((sum, {workMs}) => sum + workMs, 0);
}

/** Returns a figure that is no use, such as a capacity of 0 divided by 0, as 0. */
function toFinite(value: number): number {
  return Number.isFinite(value) ? Math.max(0, value) : 0;
}
