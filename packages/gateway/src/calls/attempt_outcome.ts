import type {OutcomeKind} from './outcome_kind.js';
import type {BufferedResponse} from './buffered_response.js';

/** Result of an attempt at a runner. */
export interface AttemptOutcome {
  readonly kind: OutcomeKind;
  /** A short fixed text, for logs and metrics. */
  readonly reason: string;
  /** Status of the runner's response, if there was one. */
  readonly status?: number;
  /** The runner's response, if it can still be passed on. */
  readonly response?: BufferedResponse;
  readonly confidence?: number;
  /** Whether this host itself withheld the request, which is no evidence on the runner. */
  readonly isWithheld?: boolean;
  /** Whether the runner closed the connection before its response was complete: it may have crashed. */
  readonly isTruncated?: boolean;
  /** Whether the connection closed after this host had not read the response for long, which is no evidence on the runner. */
  readonly isCutUnread?: boolean;
  /** Whether this host gave the response up for want of memory, which is no evidence on the runner's version. */
  readonly isGivenUp?: boolean;
}
