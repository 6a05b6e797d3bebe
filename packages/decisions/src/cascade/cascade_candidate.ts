import type {Version} from '../configuration/version.js';
import type {PassRateEstimate} from './pass_rate_estimate.js';

/** A version that can be a leg of a cascade, with its estimates. */
export interface CascadeCandidate {
  readonly version: Version;
  readonly estimate: PassRateEstimate;
  /** Expected time to a complete answer, in ms. */
  readonly expectedMs: number;
}
