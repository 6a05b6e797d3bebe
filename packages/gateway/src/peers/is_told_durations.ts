import type {DurationSummary} from '@bayspool/decisions/capacity';
import {MAX_TOLD_ROUTE_LENGTH} from './max_told_route_length.js';
import type {ToldDurations} from './told_durations.js';

/** Longest duration that is taken from another host, in ms. */
const MAX_DURATION_MS = 86_400_000;
/** Shortest one, in ms: that of a token of a fast model is longer. */
const MIN_DURATION_MS = 0.001;
/** Bounds of the logarithm's mean and variance: what follows from them stays finite. */
const MIN_LOG_MEAN = Math.log(MIN_DURATION_MS);
const MAX_LOG_MEAN = 40;
const MAX_LOG_VARIANCE = 100;

/** Whether a value that another host sent tells how long calls of a route take. */
export function isToldDurations(value: unknown): value is ToldDurations {
  if (!isRecord(value)) return false;
  const {route, count, total, perToken} = value;
  return (
    typeof route === 'string' &&
    route.length <= MAX_TOLD_ROUTE_LENGTH &&
    isWithin(count, 1, Number.MAX_SAFE_INTEGER) &&
    isSummary(total) &&
    (perToken === undefined || isSummary(perToken))
  );
}

function isSummary(value: unknown): value is DurationSummary {
  if (!isRecord(value)) return false;
  const {logMean, logVariance, longestMs} = value;
  return (
    isWithin(logMean, MIN_LOG_MEAN, MAX_LOG_MEAN) &&
    isWithin(logVariance, 0, MAX_LOG_VARIANCE) &&
    isWithin(longestMs, MIN_DURATION_MS, MAX_DURATION_MS)
  );
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}

function isWithin(
  value: unknown,
  least: number,
  most: number,
): value is number {
  return typeof value === 'number' && value >= least && value <= most;
}
