import type {CallKind} from './call_kind.js';
import type {WeightedService} from './weighted_service.js';

/** Destination and rules of the calls with one host name and path prefix. */
export interface CallRoute {
  readonly name: string;
  /** The host name in lower case, without a port. */
  readonly hostName: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** Maximum duration of a call, in ms. */
  readonly timeLimitMs: number;
  /** Time within which a response, or the first event, has its full worth, in ms. */
  readonly latencyTargetMs: number;
  /**
   * Maximum pause between two events of a response that is in time, in ms; 0 for kinds that are not
   * streamed.
   */
  readonly pauseTargetMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Maximum number of runners that one call is sent to; at least 1. */
  readonly attempts: number;
  /** Whether calls need no API key. */
  readonly isPublic: boolean;
  /** Models that may answer, from the smallest to the largest; empty if the caller names one. */
  readonly models: readonly string[];
  /** Regions in which the data of its calls may be processed; undefined if all are allowed. */
  readonly regions?: readonly string[];
  readonly targets: readonly WeightedService[];
}
