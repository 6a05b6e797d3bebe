import type {RatingResult} from './rating_result.js';
import type {RatingSample} from './rating_sample.js';

/** The platform's service that rates answers. Ratings are delayed and noisy. */
export interface RatingService {
  submit(sample: RatingSample): Promise<void>;
  /** Fetches the results for this host's samples after position `after`; waits up to `waitMs` for one (long poll). */
  fetchResults(
    host: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<RatingResult[]>;
}
