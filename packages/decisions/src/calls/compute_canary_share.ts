import type {ExposureBounds} from './exposure_bounds.js';
import {estimateFinalExposureLimit} from './estimate_final_exposure_limit.js';
import type {RolloutProgress} from './rollout_progress.js';
import {computeCanaryLimit} from './compute_canary_limit.js';

/**
 * Period over which the calls that the version may get now are spread, in ms, so that some
 * responses arrive meanwhile.
 */
const SPENDING_PERIOD_MS = 1_000;
/** Time after the order by which hosts have exchanged their call rates, in ms. */
const RATE_EXCHANGE_MS = 2_000;
/**
 * Share until then: about ten calls in a second at any rate at which a higher share could harm many
 * callers.
 */
const INITIAL_SHARE = 0.08;
/**
 * Part of the exposure limit that is used in the canary phase, with a margin for a rising call rate.
 */
const CANARY_PART = 0.4;
/**
 * Lowest share. Shares are quantized to steps so that hosts with nearly the same information send a
 * session to the same version.
 */
const MIN_SHARE = 0.02;
/** Ratio between two steps. */
const STEP_FACTOR = 1.5;
/** Responses needed to distinguish a version with every fifth response bad from a good one. */
const WANTED_GOOD_RESPONSES = 40;
/** Part of the time limit by which these responses are wanted. */
const WANTED_BY_PART = 0.88;
/**
 * Share that suffices once they have arrived; the rest of the limit is kept for shifting all calls
 * later.
 */
const SUSTAINED_SHARE = 0.07;
/** Highest share: the old version has to be observed alongside the new one. */
const MAX_SHARE = 0.5;

/** Share of calls, 0 to 1, with which the new version gradually uses its canary limit. */
export function computeCanaryShare(
  bounds: ExposureBounds,
  progress: RolloutProgress,
): number {
  const {callsPerMs, durationMs, elapsedMs, sentFresh, goodFresh} = progress;
  if (elapsedMs < RATE_EXCHANGE_MS) return INITIAL_SHARE;
  const remainingCalls = computeCanaryLimit(bounds, progress) - sentFresh;
  const expectedCalls = callsPerMs * SPENDING_PERIOD_MS;
  const remainingMs = Math.max(1, durationMs * WANTED_BY_PART - elapsedMs);
  const missingResponses = Math.max(0, WANTED_GOOD_RESPONSES - goodFresh);
  const wantedShare = missingResponses / (callsPerMs * remainingMs);
  const evidenceShare = Math.min(
    remainingCalls / expectedCalls,
    Math.max(SUSTAINED_SHARE, wantedShare),
  );
  const sustainableShare = computeSustainableShare(bounds, progress);
  return roundDownToStep(Math.min(MAX_SHARE, evidenceShare, sustainableShare));
}

/**
 * The share that the version can have up to the time limit within the part of the limit for the
 * canary phase.
 */
function computeSustainableShare(
  bounds: ExposureBounds,
  progress: RolloutProgress,
): number {
  const {callsPerMs, durationMs, elapsedMs, sentFresh} = progress;
  const remainingCalls =
    estimateFinalExposureLimit(bounds, progress) * CANARY_PART - sentFresh;
  const expectedCalls = callsPerMs * Math.max(1, durationMs - elapsedMs);
  return Math.max(0, remainingCalls) / expectedCalls;
}

/** The highest step not above a share; the lowest step at least. */
function roundDownToStep(share: number): number {
  if (!(share > MIN_SHARE)) return MIN_SHARE;
  const steps = Math.log(share / MIN_SHARE) / Math.log(STEP_FACTOR);
  return MIN_SHARE * STEP_FACTOR ** Math.floor(steps);
}
