import {countEpisodes} from './count_episodes.js';
import type {RunnerCrash} from './runner_crash.js';
import type {SuspectRequest} from './suspect_request.js';

interface Options {
  readonly suspect: SuspectRequest;
  /** All requests that are not quarantined. */
  readonly candidates: readonly SuspectRequest[];
  /** Runner starts whose crash is attributed to a quarantined request. */
  readonly explained: ReadonlySet<number>;
  /** All hosts have had time to report the crashes noted up to this time, in ms. */
  readonly settledUntil: number;
}

/** Weight of a crash that no other request explains. */
const ONLY_CAUSE_WEIGHT = 1;
/** Crash episodes that distinguish a request from those retried along with it. */
const MIN_EPISODES = 2;
/** Number of crashes of another request from which on it may be the cause as well. */
const MIN_OTHER_CRASHES = 2;

/**
 * Reweighs the crashes of a request that was present at crashes again after a pause; returns none
 * if it was not. A response that is not streamed gives no sign that its run has started, but
 * requests that only waited are answered or given up during the pause. So a crash gets full weight
 * if no other request that was present was at a further crash.
 */
export function reweighRecurrentCrashes(options: Options): RunnerCrash[] {
  const {suspect, explained} = options;
  const times = suspect.crashes.map(({notedAt}) => notedAt);
  if (countEpisodes(times) < MIN_EPISODES) return [];
  return suspect.crashes
    .filter(({start}) => !explained.has(start))
    .map(({start, weight, notedAt}) => {
      const isSettled = notedAt <= options.settledUntil;
      const isCause = isSettled && isOnlyCause(options, start);
      return {start, weight: isCause ? ONLY_CAUSE_WEIGHT : weight};
    });
}

function isOnlyCause({suspect, candidates}: Options, start: number): boolean {
  return !candidates.some(
    other =>
      other !== suspect &&
      other.wasPresentAt(start) &&
      other.crashes.length >= MIN_OTHER_CRASHES,
  );
}
