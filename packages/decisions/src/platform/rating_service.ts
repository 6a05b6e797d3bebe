import type {RatingResult} from './rating_result.js';
import type {RatingSample} from './rating_sample.js';

/** The platform's service that rates answers, late and with noise. */
export interface RatingService {
  submit(sample: RatingSample): Promise<void>;
  /** Results for this host's samples after position `after`; waits up to `waitMs` for one. */
  fetchResults(
    host: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<RatingResult[]>;
}
