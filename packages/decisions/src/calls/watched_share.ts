import type {ExposureBounds} from './exposure_bounds.js';
import {finalExposureLimit} from './final_exposure_limit.js';
import type {RolloutFacts} from './rollout_facts.js';
import {watchedLimit} from './watched_limit.js';

/** Time in which the calls that a version may get now are given, in ms: some answers come meanwhile. */
const GIVEN_IN_MS = 1_000;
/** Time after the order in which hosts have heard from each other how many calls come, in ms. */
const RATE_KNOWN_MS = 2_000;
/** The share until then: some ten calls come within a second at any rate at which more could harm many callers. */
const FIRST_SHARE = 0.08;
/** Part of what is allowed in all that is used to watch it, with room for calls that come faster. */
const WATCHED_PART = 0.4;
/** Shares are steps, so that hosts that know nearly the same put a session on the same version. */
const LEAST_STEP = 0.02;
const STEP_TIMES = 1.5;
/** Answers by which a version of which every fifth answer is bad is told from a good one. */
const WANTED_CALLS = 40;
/** Part of the time limit by which they are wanted. */
const WANTED_BY_PART = 0.88;
/** The share that is enough once they are there; what is left of the limit moves all calls later. */
const USUAL_SHARE = 0.07;
/** The largest share at any rate: the old version has to be seen beside the new one. */
const MAX_SHARE = 0.5;

/** The share of calls, 0 to 1, that gives the new version by and by what it may get while it is watched. */
export function watchedShare(
  bounds: ExposureBounds,
  facts: RolloutFacts,
): number {
  const {callsPerMs, durationMs, elapsedMs, sentFresh, goodFresh} = facts;
  if (elapsedMs < RATE_KNOWN_MS) return FIRST_SHARE;
  const left = watchedLimit(bounds, facts) - sentFresh;
  const toCome = callsPerMs * GIVEN_IN_MS;
  const watchedForMs = Math.max(1, durationMs * WANTED_BY_PART - elapsedMs);
  const lacking = Math.max(0, WANTED_CALLS - goodFresh);
  const wanted = lacking / (callsPerMs * watchedForMs);
  const wished = Math.min(left / toCome, Math.max(USUAL_SHARE, wanted));
  const lasting = lastingShare(bounds, facts);
  return toStep(Math.min(MAX_SHARE, wished, lasting));
}

/** The share that it may have up to the limit without getting more than it may have while it is watched. */
function lastingShare(bounds: ExposureBounds, facts: RolloutFacts): number {
  const {callsPerMs, durationMs, elapsedMs, sentFresh} = facts;
  const left = finalExposureLimit(bounds, facts) * WATCHED_PART - sentFresh;
  const toCome = callsPerMs * Math.max(1, durationMs - elapsedMs);
  return Math.max(0, left) / toCome;
}

/** The highest step that is not over a share; the lowest one at least. */
function toStep(share: number): number {
  if (!(share > LEAST_STEP)) return LEAST_STEP;
  const steps = Math.log(share / LEAST_STEP) / Math.log(STEP_TIMES);
  return LEAST_STEP * STEP_TIMES ** Math.floor(steps);
}
