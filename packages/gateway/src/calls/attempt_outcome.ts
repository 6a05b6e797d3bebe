import type {AttemptKind} from './attempt_kind.js';
import type {WholeAnswer} from './whole_answer.js';

/** What came of an attempt at a runner. */
export interface AttemptOutcome {
  readonly kind: AttemptKind;
  /** A short fixed text, for logs and metrics. */
  readonly reason: string;
  /** The runner's status, if it gave one. */
  readonly status?: number;
  /** The runner's answer, where it can still be passed on. */
  readonly answer?: WholeAnswer;
  readonly confidence?: number;
  /** Whether this host itself kept the request back, which says nothing of the runner. */
  readonly isWithheld?: boolean;
  /** Whether the runner closed the connection before its answer was whole: it may have ended. */
  readonly isCutOff?: boolean;
}
