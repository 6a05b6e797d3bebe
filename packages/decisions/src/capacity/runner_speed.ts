import type {Clock} from '@bayspool/kernel';
import {DecayedMean} from './decayed_mean.js';
import type {SpeedExpectation} from './speed_expectation.js';
import type {SpeedSum} from './speed_sum.js';

interface Options {
  readonly clock: Clock;
}

interface PendingCall extends SpeedExpectation {
  readonly sentAt: number;
}

/** Bounds of a sample's ratio, and of the slowness, so that one response has a bounded effect. */
const MAX_LOG_RATIO = Math.log(4);
/** How far a sample can lie from the usual slowness: more is a short disturbance, for which the recent figure stands. */
const MAX_DEVIATION = Math.log(1.22);
/** Time after which a sample has half its weight, in ms: a host of a large fleet sees a response of a runner per second. */
const HALF_LIFE_MS = 8_000;
/** The same for the recent figure, in ms: it must end soon after a disturbance of some tenths of a second has ended. */
const RECENT_HALF_LIFE_MS = 100;
/** Weight of the assumption that a runner has nominal speed, or, for the recent figure, its usual one. */
const PRIOR_WEIGHT = 1;
/**
 * Sums of less weight, or whose ratio is closer to 1, are not sent to other hosts: chance deviations that all hosts
 * share would move the calls of all of them at once.
 */
const MIN_SHARED_WEIGHT = 3;
const MIN_SHARED_LOG_RATIO = Math.log(1.25);
/** Smallest time or ratio that is compared. */
const MIN_TIME = 0.01;
/** Weight of a runner's own statement in the recent figure. */
const REPORT_WEIGHT = 3;
/** Half-life of the usual statement of a runner, in ms: disturbances are short and rare within this time. */
const REPORT_HALF_LIFE_MS = 15_000;
/** Logarithm of a ratio that may be chance, up to which a runner counts as even, and from which it counts fully. */
const EVEN_LOG_RATIO = Math.log(1.1);
const CLEAR_LOG_RATIO = Math.log(1.25);
/** Calls in flight that are checked for being overdue; with more of them, one of these is overdue as well. */
const MAX_PENDING = 16;

/**
 * The slowness of one incarnation of a runner: actual over expected time, 1 is nominal. It responds to the times of
 * responses of this host and others, and at once to calls of this host that are overdue.
 */
export class RunnerSpeed {
  private readonly own: DecayedMean;
  private readonly recent: DecayedMean;
  private readonly peers: DecayedMean;
  private readonly reports: DecayedMean;
  private readonly pending = new Set<PendingCall>();

  constructor(private readonly options: Options) {
    const {clock} = options;
    this.own = new DecayedMean({clock, halfLifeMs: HALF_LIFE_MS});
    this.peers = new DecayedMean({clock, halfLifeMs: HALF_LIFE_MS});
    this.recent = new DecayedMean({clock, halfLifeMs: RECENT_HALF_LIFE_MS});
    this.reports = new DecayedMean({clock, halfLifeMs: REPORT_HALF_LIFE_MS});
  }

  /** Slowness over the last seconds; 1 without samples. */
  get usualSlowness(): number {
    return Math.exp(discountChance(this.usualLogRatio));
  }

  /** Slowness right now: the usual one, unless recent responses or overdue calls say otherwise. */
  get slowness(): number {
    const usual = this.usualLogRatio;
    let weight = PRIOR_WEIGHT + this.recent.weight;
    let sum = PRIOR_WEIGHT * usual + this.recent.sum;
    if (this.pending.size > 0) {
      const now = this.options.clock.now();
      const usualRatio = Math.exp(usual);
      for (const {sentAt, expectedMs, weight: one} of this.pending) {
        const elapsedMs = now - sentAt;
        // A call that is not overdue tells nothing yet.
        if (elapsedMs <= expectedMs * usualRatio) continue;
        weight += one;
        sum += one * toLogRatio(elapsedMs, expectedMs);
      }
    }
    return Math.exp(discountChance(sum / weight));
  }

  /** Records the time of a response. */
  record(tookMs: number, {expectedMs, weight}: SpeedExpectation): void {
    const logRatio = toLogRatio(tookMs, expectedMs);
    const usual = this.usualLogRatio;
    const deviation = clamp(logRatio - usual, MAX_DEVIATION);
    this.own.add(usual + deviation, weight);
    this.recent.add(logRatio, weight);
  }

  /**
   * Records how long work takes on the runner's machine now, by its own statement; 1 is the usual time. Only changes
   * count, as the usual time may be that of this machine or of all.
   */
  recordReport(ratio: number): void {
    const logRatio = toLogRatio(ratio, 1);
    const usual = this.reports.sum / (this.reports.weight + PRIOR_WEIGHT);
    this.reports.add(logRatio, 1);
    this.recent.add(this.usualLogRatio + logRatio - usual, REPORT_WEIGHT);
  }

  /**
   * Tracks a call until its first event, or its end.
   *
   * @returns a function to call then
   */
  track(expectation: SpeedExpectation): () => void {
    if (this.pending.size >= MAX_PENDING) return () => undefined;
    const call = {...expectation, sentAt: this.options.clock.now()};
    this.pending.add(call);
    return () => this.pending.delete(call);
  }

  /** Replaces the sum of the other hosts' samples; undefined if they sent none. */
  updateFromPeers([weight, logSum]: SpeedSum = [0, 0]): void {
    this.peers.reset(weight, logSum);
  }

  /** Returns this host's sums for other hosts; undefined if they say little, or that the speed is nominal. */
  createDigest(): SpeedSum | undefined {
    const {weight, sum} = this.own;
    if (weight < MIN_SHARED_WEIGHT) return undefined;
    if (Math.abs(sum) < weight * MIN_SHARED_LOG_RATIO) return undefined;
    return [roundToHundredths(weight), roundToHundredths(sum)];
  }

  private get usualLogRatio(): number {
    const weight = this.own.weight + this.peers.weight + PRIOR_WEIGHT;
    return (this.own.sum + this.peers.sum) / weight;
  }
}

/** Reduces a logarithm of a ratio near 0 to 0, without a step. */
function discountChance(logRatio: number): number {
  const size = Math.abs(logRatio);
  if (size >= CLEAR_LOG_RATIO) return logRatio;
  const clear = Math.max(0, size - EVEN_LOG_RATIO);
  const share = clear / (CLEAR_LOG_RATIO - EVEN_LOG_RATIO);
  return Math.sign(logRatio) * share * CLEAR_LOG_RATIO;
}

function toLogRatio(actual: number, expected: number): number {
  const logRatio = Math.log(
    Math.max(actual, MIN_TIME) / Math.max(expected, MIN_TIME),
  );
  return clamp(logRatio, MAX_LOG_RATIO);
}

function clamp(value: number, bound: number): number {
  return Math.min(bound, Math.max(-bound, value));
}

function roundToHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}
