import type {PooledConnection} from '../runners/pooled_connection.js';
import type {OutcomeKind} from './outcome_kind.js';
import type {AttemptOutcome} from './attempt_outcome.js';

interface Options {
  readonly connection: PooledConnection;
  /** How a failure at this time counts. */
  readonly failureKind: () => OutcomeKind;
  /** Whether this host has ended the attempt. */
  readonly isAborted: () => boolean;
  readonly status: number;
  /** The model's opinion of its answer, if it gave one. */
  readonly confidence?: number;
}

/** The outcome of an answer that is being received; the first one told holds. */
export class PendingOutcome {
  /** Resolves with the outcome; never rejects. */
  readonly promise: Promise<AttemptOutcome>;
  private settled = false;
  private resolve: (outcome: AttemptOutcome) => void = () => undefined;

  constructor(private readonly options: Options) {
    this.promise = new Promise(resolve => {
      this.resolve = resolve;
    });
  }

  /** Whether the outcome is known; what comes of the answer from then on says nothing. */
  get isSettled(): boolean {
    return this.settled;
  }

  /** The answer came to its end. */
  succeed(outcome: AttemptOutcome): void {
    if (this.settled) return;
    this.settled = true;
    this.resolve(outcome);
  }

  /**
   * The answer cannot be used, nor the connection after it. Node closes an answer behind its end too;
   * the outcome is known and the connection sound then.
   */
  fail(reason: string): void {
    this.settleFailed(reason, false);
  }

  /** The runner closed the connection before its answer was whole. */
  failTruncated(reason: string): void {
    this.settleFailed(reason, !this.options.isAborted());
  }

  private settleFailed(reason: string, isCutOff: boolean): void {
    if (this.settled) return;
    this.settled = true;
    const {connection, failureKind, status, confidence} = this.options;
    connection.discard();
    const kind = failureKind();
    this.resolve({kind, reason, status, confidence, isTruncated: isCutOff});
  }
}
