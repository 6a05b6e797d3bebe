import type {PooledConnection} from '../runners/pooled_connection.js';
import type {OutcomeKind} from './outcome_kind.js';
import type {AttemptOutcome} from './attempt_outcome.js';

interface Options {
  readonly connection: PooledConnection;
  /** Returns the outcome kind of a failure at this time. */
  readonly failureKind: () => OutcomeKind;
  /** Why this host has aborted the attempt or closed its connection; undefined if it has not. */
  readonly abortReason: () => string | undefined;
  readonly status: number;
  /** The model's confidence in its response, if it reported one. */
  readonly confidence?: number;
}

/** How a response failed. */
type Failure = Pick<AttemptOutcome, 'reason' | 'isTruncated' | 'isGivenUp'>;

/** Outcome of a response that is being received. It is settled once; later calls have no effect. */
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

  /** Whether the outcome is known; whatever arrives afterwards is ignored. */
  get isSettled(): boolean {
    return this.settled;
  }

  /** Settles the outcome of a complete response. */
  succeed(outcome: AttemptOutcome): void {
    if (this.settled) return;
    this.settled = true;
    this.resolve(outcome);
  }

  /**
   * Settles a response that can't be used, and discards its connection. Node also emits `close`
   * after a complete response; the outcome is already settled then, and the connection stays
   * usable.
   */
  fail(reason: string): void {
    this.settleFailed({reason, isTruncated: false});
  }

  /** Settles a response that this host can't hold any longer, and discards its connection. */
  giveUp(reason: string): void {
    this.settleFailed({reason, isTruncated: false, isGivenUp: true});
  }

  /** Settles a response whose connection closed before it was complete: this host aborted it, or else the runner closed it. */
  failTruncated(reason: string): void {
    const abortReason = this.options.abortReason();
    const isTruncated = abortReason === undefined;
    this.settleFailed({reason: abortReason ?? reason, isTruncated});
  }

  private settleFailed(failure: Failure): void {
    if (this.settled) return;
    this.settled = true;
    const {connection, failureKind, status, confidence} = this.options;
    connection.discard();
    const kind = failureKind();
    this.resolve({kind, status, confidence, ...failure});
  }
}
