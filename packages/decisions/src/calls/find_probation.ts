import {countEpisodes} from './count_episodes.js';
import {EPISODE_GAP_MS} from './episode_gap_ms.js';
import type {Probation} from './probation.js';
import type {SuspectRequest} from './suspect_request.js';

interface Options {
  readonly suspect: SuspectRequest;
  /** The time on this host's clock. */
  readonly now: number;
}

/** Crashes from which on a request may be on probation, whatever else explains them. */
const MIN_CRASHES = 3;
/** Episodes that distinguish a request from those that were merely retried along with it. */
const MIN_EPISODES = 2;
/** Weight of a crash that shows that a run had started, or was the only one. */
const CERTAIN_WEIGHT = 1;
/** Time for which a request is held back after its last crash, in ms: the hosts exchange the crash meanwhile. */
const HOLD_MS = 2_000;
/** The same after a trial that crashed its runner, in ms: long enough for its callers to give up. */
const FAILED_TRIAL_HOLD_MS = 600_000;
/** Time within which a crash is known at all hosts, also to those in other places, in ms. */
const TURN_MS = 1_500;
/** The same for a request that was there in one episode only, and comes again, in ms. */
const RETURN_TURN_MS = 1_000;
/** Least time between two trials of a host, in ms: the crash under the first one is known by then. */
const TRIAL_INTERVAL_MS = 2_000;

/**
 * Finds whether a request is on probation: runners had it again and again when they crashed. Its presence alone does not
 * show that it is the cause, so it is tried again soon, one copy at a time; a response to it ends the probation at all
 * hosts.
 */
export function findProbation({suspect, now}: Options): Probation | undefined {
  const {presence, crashes, trialAt} = suspect;
  const {times} = presence;
  if (times.length < MIN_CRASHES) return undefined;
  const lastCrashAt = Math.max(...times);
  const nextTrialAt = trialAt + TRIAL_INTERVAL_MS;
  const certain = crashes.filter(({weight}) => weight >= CERTAIN_WEIGHT);
  const episodes = countEpisodes(times);
  if (episodes < MIN_EPISODES && certain.length < MIN_CRASHES) {
    // It is the first to come back with the runners, or was merely there.
    const returnAt = lastCrashAt + EPISODE_GAP_MS;
    if (now < returnAt) return undefined;
    const holdEnd = Math.max(returnAt, nextTrialAt);
    return {holdEnd, turnMs: RETURN_TURN_MS, isBrief: true};
  }
  const holdMs = episodes > MIN_EPISODES ? FAILED_TRIAL_HOLD_MS : HOLD_MS;
  const holdEnd = Math.max(lastCrashAt + holdMs, nextTrialAt);
  return {holdEnd, turnMs: TURN_MS, isBrief: false};
}
