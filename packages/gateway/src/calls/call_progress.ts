import type {RetryReservation} from '@bayspool/decisions/calls';
import type {VersionPreference} from '../rollouts/version_preference.js';
import type {Runner} from '../runners/runner.js';
import {OutcomeKind} from './outcome_kind.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {IncomingCall} from './incoming_call.js';
import type {BufferedResponse} from './buffered_response.js';

interface Options {
  readonly call: IncomingCall;
  /** The model that is asked first, if any. */
  readonly model?: string;
}

/** What the last choice of a runner wished for, and whether a runner had it. */
interface VersionDecision {
  readonly wish: VersionPreference;
  /** False if no runner had a version that was wished, so that any runner was taken. */
  readonly isGranted: boolean;
  /** Runners that might take the call, whatever their version and load. */
  readonly candidateCount: number;
}

/** How far a call has come: what was tried, and whether it may have run. */
export class CallProgress {
  readonly call: IncomingCall;
  /** The model that is asked next. */
  model: string | undefined;
  /** The opinion that a small model had of its answer, 0 to 100. */
  smallModelConfidence: number | undefined;
  /** Runners that were tried. */
  readonly triedRunners = new Set<string>();
  /** Attempts in all. */
  attemptCount = 0;
  /** Attempts in which the request was sent to a runner. */
  sentCount = 0;
  /** Runners that could not be reached since the caller holds a piece of the answer. */
  unreachableCount = 0;
  /** Whether a runner may have run the request. */
  mayHaveRun = false;
  /** The versions of the runners that answered with a failure, one for each such answer. */
  readonly failedVersions: string[] = [];
  /** On what the version of the last runner was decided. */
  versionDecision: VersionDecision | undefined;
  /** Runners from which the last choice was kept. */
  withheldCount = 0;
  /** Whether the last choice was among few runners, so that these bear the usual load. */
  isConcentrated = false;
  /** The version that made what the caller holds of the answer; undefined while it holds nothing. */
  startedByVersion: string | undefined;
  /** Room in the retry budget for the next attempt; undefined if that is the first to arrive at a runner. */
  retryReservation: RetryReservation | undefined;
  /** The last answer of a runner that failed, which can still be passed on. */
  lastErrorResponse: BufferedResponse | undefined;

  constructor({call, model}: Options) {
    this.call = call;
    this.model = model;
  }

  /** Takes the outcome of one attempt into account. */
  recordOutcome(runner: Runner, outcome: AttemptOutcome): void {
    this.attemptCount += 1;
    if (wasSent(outcome)) this.sentCount += 1;
    if (this.startedByVersion !== undefined && wasUnreachable(outcome))
      this.unreachableCount += 1;
    if (outcome.kind !== OutcomeKind.LOW_CONFIDENCE)
      this.triedRunners.add(runner.entry.id);
    if (mayHaveRun(outcome)) this.mayHaveRun = true;
    if (outcome.kind === OutcomeKind.RUNNER_ERROR) {
      this.lastErrorResponse = outcome.response;
      this.failedVersions.push(runner.entry.version);
    }
    if (outcome.kind === OutcomeKind.BROKEN) this.lastErrorResponse = undefined;
  }
}

/** Whether the request reached the runner, also if it was turned away there. */
function wasSent(outcome: AttemptOutcome): boolean {
  return mayHaveRun(outcome) || outcome.status !== undefined;
}

/** Whether no connection to the runner came up. */
function wasUnreachable(outcome: AttemptOutcome): boolean {
  const {kind, isWithheld} = outcome;
  return kind === OutcomeKind.NOT_RUN && !wasSent(outcome) && !isWithheld;
}

function mayHaveRun({kind}: AttemptOutcome): boolean {
  return kind !== OutcomeKind.NOT_RUN && kind !== OutcomeKind.UNSENT;
}
