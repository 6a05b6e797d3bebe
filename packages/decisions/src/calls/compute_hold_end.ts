import {countEpisodes} from './count_episodes.js';
import type {SuspectRequest} from './suspect_request.js';

/** Crashes from which on a request may be on probation, whatever else explains them. */
const MIN_CRASHES = 3;
/** Episodes that distinguish a request from those that were merely retried along with it. */
const MIN_EPISODES = 2;
/** Weight of a crash that shows that a run had started, or was the only one. */
const CERTAIN_WEIGHT = 1;
/** Time for which a request is held back after its last crash, in ms: the hosts exchange the crash meanwhile. */
const HOLD_MS = 2_000;
/** Factor by which each further episode prolongs that. */
const HOLD_GROWTH = 3;
const MAX_HOLD_MS = 600_000;
/** Least time between two trials of a host, in ms: the crash under the first one is known by then. */
const TRIAL_INTERVAL_MS = 2_000;

/**
 * Computes until when a request is held back that runners had again and again when they crashed, on this host's
 * clock; undefined if it is not on probation. Its presence alone does not show that it is the cause, so it is tried
 * again soon: a response to it ends the probation at all hosts.
 */
export function computeHoldEnd({
  presenceTimes,
  crashes,
  trialAt,
}: SuspectRequest): number | undefined {
  if (presenceTimes.length < MIN_CRASHES) return undefined;
  const certain = crashes.filter(({weight}) => weight >= CERTAIN_WEIGHT);
  const episodes = countEpisodes(presenceTimes);
  if (episodes < MIN_EPISODES && certain.length < MIN_CRASHES) return undefined;
  const growth = HOLD_GROWTH ** Math.max(0, episodes - MIN_EPISODES);
  const holdMs = Math.min(MAX_HOLD_MS, HOLD_MS * growth);
  return Math.max(
    Math.max(...presenceTimes) + holdMs,
    trialAt + TRIAL_INTERVAL_MS,
  );
}
