import type {OutcomeKind} from './outcome_kind.js';
import type {BufferedResponse} from './buffered_response.js';

/** What came of an attempt at a runner. */
export interface AttemptOutcome {
  readonly kind: OutcomeKind;
  /** A short fixed text, for logs and metrics. */
  readonly reason: string;
  /** The runner's status, if it gave one. */
  readonly status?: number;
  /** The runner's answer, where it can still be passed on. */
  readonly response?: BufferedResponse;
  readonly confidence?: number;
  /** Whether this host itself kept the request back, which says nothing of the runner. */
  readonly isWithheld?: boolean;
  /** Whether the runner closed the connection before its answer was whole: it may have ended. */
  readonly isTruncated?: boolean;
}
