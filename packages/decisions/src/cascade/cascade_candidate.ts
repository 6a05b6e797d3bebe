import type {Version} from '../configuration/version.js';
import type {PassRateEstimate} from './pass_rate_estimate.js';

/** A version that may be a leg, with what is known of it. */
export interface CascadeCandidate {
  readonly version: Version;
  readonly estimate: PassRateEstimate;
  /** The expected time to a whole answer, in ms. */
  readonly expectedMs: number;
}
