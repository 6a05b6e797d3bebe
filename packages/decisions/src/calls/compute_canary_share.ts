import type {ExposureBounds} from './exposure_bounds.js';
import {estimateFinalExposureLimit} from './estimate_final_exposure_limit.js';
import type {RolloutProgress} from './rollout_progress.js';
import {computeCanaryLimit} from './compute_canary_limit.js';

/** Time in which the calls that a version may get now are given, in ms: some answers come meanwhile. */
const SPENDING_PERIOD_MS = 1_000;
/** Time after the order in which hosts have heard from each other how many calls come, in ms. */
const RATE_EXCHANGE_MS = 2_000;
/** The share until then: some ten calls come within a second at any rate at which more could harm many callers. */
const INITIAL_SHARE = 0.08;
/** Part of what is allowed in all that is used to watch it, with room for calls that come faster. */
const CANARY_PART = 0.4;
/** Shares are steps, so that hosts that know nearly the same put a session on the same version. */
const MIN_SHARE = 0.02;
const STEP_FACTOR = 1.5;
/** Answers by which a version of which every fifth answer is bad is told from a good one. */
const WANTED_GOOD_ANSWERS = 40;
/** Part of the time limit by which they are wanted. */
const WANTED_BY_PART = 0.88;
/** The share that is enough once they are there; what is left of the limit moves all calls later. */
const SUSTAINED_SHARE = 0.07;
/** The largest share at any rate: the old version has to be seen beside the new one. */
const MAX_SHARE = 0.5;

/** The share of calls, 0 to 1, that gives the new version by and by what it may get while it is watched. */
export function computeCanaryShare(
  bounds: ExposureBounds,
  facts: RolloutProgress,
): number {
  const {callsPerMs, durationMs, elapsedMs, sentFresh, goodFresh} = facts;
  if (elapsedMs < RATE_EXCHANGE_MS) return INITIAL_SHARE;
  const left = computeCanaryLimit(bounds, facts) - sentFresh;
  const toCome = callsPerMs * SPENDING_PERIOD_MS;
  const watchedForMs = Math.max(1, durationMs * WANTED_BY_PART - elapsedMs);
  const lacking = Math.max(0, WANTED_GOOD_ANSWERS - goodFresh);
  const wanted = lacking / (callsPerMs * watchedForMs);
  const wished = Math.min(left / toCome, Math.max(SUSTAINED_SHARE, wanted));
  const lasting = computeSustainableShare(bounds, facts);
  return roundDownToStep(Math.min(MAX_SHARE, wished, lasting));
}

/** The share that it may have up to the limit without getting more than it may have while it is watched. */
function computeSustainableShare(
  bounds: ExposureBounds,
  facts: RolloutProgress,
): number {
  const {callsPerMs, durationMs, elapsedMs, sentFresh} = facts;
  const left =
    estimateFinalExposureLimit(bounds, facts) * CANARY_PART - sentFresh;
  const toCome = callsPerMs * Math.max(1, durationMs - elapsedMs);
  return Math.max(0, left) / toCome;
}

/** The highest step that is not over a share; the lowest one at least. */
function roundDownToStep(share: number): number {
  if (!(share > MIN_SHARE)) return MIN_SHARE;
  const steps = Math.log(share / MIN_SHARE) / Math.log(STEP_FACTOR);
  return MIN_SHARE * STEP_FACTOR ** Math.floor(steps);
}
