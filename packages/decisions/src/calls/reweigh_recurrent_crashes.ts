import type {RunnerCrash} from './runner_crash.js';
import type {SuspectRequest} from './suspect_request.js';

interface Options {
  readonly suspect: SuspectRequest;
  /** All requests that are not held back. */
  readonly candidates: readonly SuspectRequest[];
  /** Starts of runners whose end is put down to a request that is held back. */
  readonly explained: ReadonlySet<number>;
  /** Ends noted until then, in ms: all hosts had time to tell of them. */
  readonly settledUntil: number;
}

/** Weight of an end that no other request explains. */
const ONLY_CAUSE_WEIGHT = 1;
/** A pause between ends of runners in which a request that was only sent on with the others has had its answer, in ms. */
const EPISODE_GAP_MS = 1_000;
/** Rounds of ends in which a request has to be to be told from what was sent on with it. */
const MIN_EPISODES = 2;
/** Ends of another request from which on an end may be its doing as well. */
const MIN_OTHER_CRASHES = 2;

/**
 * What speaks against a request that was at ends again after a pause; nothing if it was not. Whole answers give no sign that
 * their run has begun, but what only waited is answered or given up meanwhile: so an end counts in full if every other
 * request that was there was at no further end.
 */
export function reweighRecurrentCrashes(options: Options): RunnerCrash[] {
  const {suspect, explained} = options;
  if (suspect.countEpisodes(EPISODE_GAP_MS) < MIN_EPISODES) return [];
  return suspect.crashes
    .filter(({start}) => !explained.has(start))
    .map(({start, weight, notedAt}) => {
      const isSettled = notedAt <= options.settledUntil;
      const isCause = isSettled && isOnlyCause(options, start);
      return {start, weight: isCause ? ONLY_CAUSE_WEIGHT : weight};
    });
}

function isOnlyCause(
  {suspect, candidates: open}: Options,
  start: number,
): boolean {
  return !open.some(
    other =>
      other !== suspect &&
      other.wasPresentAt(start) &&
      other.crashes.length >= MIN_OTHER_CRASHES,
  );
}
