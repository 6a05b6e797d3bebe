import type {CallKind} from './call_kind.js';
import type {WeightedService} from './weighted_service.js';

/** Where calls of one host name and path prefix go, and what holds for them. */
export interface CallRoute {
  readonly name: string;
  /** The host name in lower case, without a port. */
  readonly hostName: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** The longest time that a call may be held, in ms. */
  readonly timeLimitMs: number;
  /** The time within which an answer, or the first event, is of full use, in ms. */
  readonly latencyTargetMs: number;
  /** The longest pause between two events that keeps an answer in time, in ms; 0 for other kinds. */
  readonly pauseTargetMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** How many runners one call may be sent to, at least 1. */
  readonly attempts: number;
  /** Whether calls need no key. */
  readonly isPublic: boolean;
  /** The models that may answer, from the smallest to the largest; none where the caller names one. */
  readonly models: readonly string[];
  /** Regions in which the data of its calls may be; undefined if any will do. */
  readonly regions?: readonly string[];
  readonly targets: readonly WeightedService[];
}
