import type {TimeComparison} from './time_comparison.js';

/** Verdict on the times of a new version. */
type TimesVerdict = 'bad' | 'doubtful' | 'open';

/**
 * Tolerated probability that a response of the new version takes longer than one of the old version.
 * If every second response takes 2.5 times as long, it is about 0.7; where both versions are alike,
 * 0.5.
 */
const MAX_LONGER_SHARE = 0.6;
/** Responses of the new version required for a verdict, and for a doubt. */
const MIN_COMPARED = 8;
const MIN_DOUBTFUL = 4;
/** Standard deviations that count as a difference; the test is repeated after every response. */
const MAX_DEVIATIONS = 4.5;
/** Standard deviations from which a difference is likely enough to keep a version from completion. */
const MAX_DOUBTFUL_DEVIATIONS = 2.5;

/**
 * Whether a new version takes longer than the old one.
 *
 * @returns `doubtful` if that is likely, `open` as long as there is no verdict
 */
export function evaluateTimes({
  compared,
  longerShare,
  deviations,
}: TimeComparison): TimesVerdict {
  if (longerShare < MAX_LONGER_SHARE) return 'open';
  if (compared >= MIN_COMPARED && deviations > MAX_DEVIATIONS) return 'bad';
  const isDoubtful =
    compared >= MIN_DOUBTFUL && deviations > MAX_DOUBTFUL_DEVIATIONS;
  return isDoubtful ? 'doubtful' : 'open';
}
