import type {RetryReservation} from '@bayspool/decisions/calls';
import {StopPhase} from '../lifecycle/stop_phase.js';
import type {VersionPreference} from '../rollouts/version_preference.js';
import type {Runner} from '../runners/runner.js';
import {OutcomeKind} from './outcome_kind.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {IncomingCall} from './incoming_call.js';
import type {BufferedResponse} from './buffered_response.js';

interface Options {
  readonly call: IncomingCall;
  /** Model of the first attempt, if any. */
  readonly model?: string;
}

/** Version preference of the last runner choice, and whether a runner met it. */
interface VersionDecision {
  readonly preference: VersionPreference;
  /** False if no runner had a preferred version, so that any runner was eligible. */
  readonly isGranted: boolean;
  /** Number of runners that may take the call, regardless of version and load. */
  readonly candidateCount: number;
  /** Number of runners that may be called now and meet the preference. */
  readonly matchingCount: number;
  /** Number of runners among which the last choice was made: a canary's calls are narrowed to few. */
  readonly selectedCount: number;
  /** Number of these to which the call was not sent before. */
  readonly untriedCount: number;
}

/** State of a call across its attempts: which runners were tried, and whether the request may have run. */
export class CallProgress {
  readonly call: IncomingCall;
  /** Model of the next attempt. */
  model: string | undefined;
  /**
   * When a small model's response was dropped for one of the largest model, on this host's clock; undefined if none was.
   */
  private droppedAt: number | undefined;
  /** Whether a small model's response was dropped for a run that was not sent yet. */
  private isEscalationDue = false;
  /** Confidence of a small model in its response, 0 to 100. */
  smallModelConfidence: number | undefined;
  /** Ids of the runners that were tried. */
  readonly triedRunners = new Set<string>();
  /** Number of attempts that have ended, including those that sent nothing. */
  attemptCount = 0;
  /** Number of attempts that were started at runners or other hosts. */
  private startedAttempts = 0;
  /** Number of attempts in which the request was sent to a runner. */
  sentCount = 0;
  /** Number of runners to which no connection could be opened. */
  unreachableCount = 0;
  /** Number of hosts to which the call was relayed since it last waited. */
  relayCount = 0;
  /** Whether this host has asked its admission control about the call. */
  isAdmitted = false;
  /** Expected work, in ms of slot time or prefill at nominal speed. */
  workMs = 0;
  /** Priority by which an engine orders the call; undefined for that of its route. */
  enginePriority: number | undefined;
  /** Whether this host has counted the call among those that ask for a runner. */
  isRequested = false;
  /** Whether this host or the relaying one has counted the call in its retry budget. */
  isCounted: boolean;
  /** Version of each runner that was unreachable since the response started. */
  readonly unreachableVersions: string[] = [];
  /** Whether a runner may have run the request. */
  mayHaveRun = false;
  /** Version of the runner for each ended attempt that may have run the request and failed. */
  private readonly endedVersions: string[] = [];
  /** Runners that have fallen silent on the call, while another run of it is under way. */
  private readonly silentRunners = new Set<Runner>();
  /** How the version of the last runner was decided. */
  versionDecision: VersionDecision | undefined;
  /** Number of runners that were withheld from the last choice. */
  withheldCount = 0;
  /** Whether the last choice was limited to few runners, so that these run at the usual load. */
  isConcentrated = false;
  /** Version that started the response; undefined while the caller has received nothing. */
  startedByVersion: string | undefined;
  /**
   * Reservation in the retry budget for the next attempt; undefined if no attempt has reached a
   * runner yet.
   */
  retryReservation: RetryReservation | undefined;
  /** Last failure response of a runner, which can still be passed on. */
  lastErrorResponse: BufferedResponse | undefined;

  constructor({call, model}: Options) {
    this.call = call;
    this.model = model;
    this.isCounted = call.relayOrigin?.isCounted ?? false;
  }

  /** How often the call may still be sent to runners; the run under way that was started last is not counted. */
  get attemptsLeft(): number {
    const {route, relayOrigin} = this.call;
    const limit = Math.min(route.attempts, relayOrigin?.attempts ?? Infinity);
    const used = this.sentCount + this.silentRunners.size;
    return Math.max(0, limit - used);
  }

  /** Version of the runner for each attempt that has failed, or whose runner is silent. */
  get failedVersions(): readonly string[] {
    const silent = [...this.silentRunners].map(({entry}) => entry.version);
    return [...this.endedVersions, ...silent];
  }

  /** How far the call has come when it is to be sent. */
  get stopPhase(): StopPhase {
    const isBegun = this.mayHaveRun || this.hasSilentRun;
    return isBegun ? StopPhase.RETRY : StopPhase.ATTEMPT;
  }

  /** Whether a run is under way whose runner is silent, and beside which others are started. */
  get hasSilentRun(): boolean {
    return this.silentRunners.size > 0;
  }

  /** When the call was given to its model, on this host's clock. */
  get modelSince(): number {
    return this.droppedAt ?? this.call.completedAt;
  }

  /** Whether the call is promised another run: a small model's response was dropped for it, and it was not sent yet. */
  get isEscalating(): boolean {
    return this.isEscalationDue;
  }

  /** Notes that a small model's response is dropped for one of the largest model. */
  recordEscalation(at: number): void {
    this.droppedAt = at;
    this.isEscalationDue = true;
  }

  /** Notes that the call was admitted at a runner, and is sent. */
  recordAdmitted(): void {
    this.isEscalationDue = false;
  }

  /** Counts an attempt as started. @returns its number, from 1 */
  recordStarted(): number {
    this.startedAttempts += 1;
    return this.startedAttempts;
  }

  /** Counts a run under way as one whose runner is silent, so that another one is chosen beside it. */
  addSilentRunner(runner: Runner): void {
    this.silentRunners.add(runner);
    this.triedRunners.add(runner.entry.id);
  }

  /** Counts a run as the one under way again: its runner has sent something, or no other run was started beside it. */
  removeSilentRunner(runner: Runner): void {
    this.silentRunners.delete(runner);
  }

  /** Hands the reservation for the next attempt over to it. */
  takeReservation(): RetryReservation | undefined {
    const reservation = this.retryReservation;
    this.retryReservation = undefined;
    return reservation;
  }

  /** Takes back the reservation of an ended attempt: one that was not spent serves the next attempt. */
  returnReservation(reservation: RetryReservation | undefined): void {
    if (!reservation?.isOpen) return;
    if (this.retryReservation) reservation.release();
    else this.retryReservation = reservation;
  }

  /** Updates the state with the outcome of the call at another host, which might use up to `attempts`. */
  recordRelayed(outcome: AttemptOutcome, attempts: number): void {
    this.attemptCount += 1;
    this.relayCount += 1;
    if (!mayHaveRun(outcome)) return;
    this.mayHaveRun = true;
    // The other host may have counted it; a call counted twice earns twice as many retries.
    this.isCounted = true;
    this.sentCount += attempts;
    this.lastErrorResponse = outcome.response;
  }

  /** Updates the state with the outcome of one attempt. */
  recordOutcome(runner: Runner, outcome: AttemptOutcome): void {
    this.attemptCount += 1;
    this.silentRunners.delete(runner);
    if (wasSent(outcome)) this.sentCount += 1;
    if (wasUnreachable(outcome)) this.unreachableCount += 1;
    if (this.startedByVersion !== undefined && wasUnreachable(outcome))
      this.unreachableVersions.push(runner.entry.version);
    if (outcome.kind !== OutcomeKind.LOW_CONFIDENCE && !outcome.isWithheld)
      this.triedRunners.add(runner.entry.id);
    if (mayHaveRun(outcome)) this.mayHaveRun = true;
    if (outcome.kind === OutcomeKind.RUNNER_ERROR)
      this.lastErrorResponse = outcome.response;
    if (outcome.kind === OutcomeKind.BROKEN) this.lastErrorResponse = undefined;
    if (hasFailed(outcome)) this.endedVersions.push(runner.entry.version);
  }
}

/** Whether the request reached the runner, even if the runner rejected it. */
function wasSent(outcome: AttemptOutcome): boolean {
  return mayHaveRun(outcome) || outcome.status !== undefined;
}

/** Whether no connection to the runner could be opened. */
function wasUnreachable(outcome: AttemptOutcome): boolean {
  const {kind, isWithheld} = outcome;
  return kind === OutcomeKind.NOT_RUN && !wasSent(outcome) && !isWithheld;
}

/** Whether the runner responded with a failure, or broke its response off. */
function hasFailed({kind}: AttemptOutcome): boolean {
  return kind === OutcomeKind.RUNNER_ERROR || kind === OutcomeKind.BROKEN;
}

function mayHaveRun({kind}: AttemptOutcome): boolean {
  return kind !== OutcomeKind.NOT_RUN && kind !== OutcomeKind.UNSENT;
}
