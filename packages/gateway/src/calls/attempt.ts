import type {IncomingMessage} from 'node:http';
import type {Clock, ConnectionReads} from '@bayspool/kernel';
import {ConnectFailure} from '../runners/connect_failure.js';
import type {PooledConnection} from '../runners/pooled_connection.js';
import type {RunnerChoice} from '../runners/runner_choice.js';
import type {RunnerStatement} from '../runners/runner_statement.js';
import {drainResponse} from '../runners/drain_response.js';
import {ExchangeFailure} from '../runners/exchange_failure.js';
import {sendRequest} from '../runners/send_request.js';
import {acquireConnection} from './acquire_connection.js';
import {BufferedResponseReader} from './buffered_response_reader.js';
import {classifyResponse} from './classify_response.js';
import {OutcomeKind} from './outcome_kind.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {CallerResponse} from './caller_response.js';
import {EventRelay} from './event_relay.js';
import type {HeaderNames} from './header_names.js';
import type {IncomingCall} from './incoming_call.js';
import {MISDIRECTED} from './misdirected.js';
import {readKeepAliveSeconds} from './read_keep_alive_seconds.js';
import {readLoadReport} from './read_load_report.js';
import {readRunnerStatement} from './read_runner_statement.js';
import type {RequestHeaders} from './request_headers.js';
import {ResponseKind} from './response_kind.js';
import {ResponseReading} from './response_reading.js';
import {ResponseWork} from './response_work.js';
import {RunEnd} from './run_end.js';
import {SilenceDetector} from './silence_detector.js';
import type {WorkShare} from './work_share.js';

interface Options {
  readonly clock: Clock;
  /** How old this host's knowledge of its callers' connections is. */
  readonly connectionReads: ConnectionReads;
  readonly workShare: WorkShare;
  readonly headerNames: HeaderNames;
  /** Builds the request headers for a runner. */
  readonly headerBuilder: RequestHeaders;
  readonly call: IncomingCall;
  readonly choice: RunnerChoice;
  readonly model?: string;
  /** Priority by which an engine orders the call; that of its route if absent. */
  readonly enginePriority?: number;
  readonly caller: CallerResponse;
  /** Aborted if the call ends before the attempt; the reason is a short text. */
  readonly signal: AbortSignal;
  /** Returns why the request must not be sent to the runner now; undefined if it may be sent. */
  readonly admit: () => string | undefined;
  /** Whether a response of this model with this confidence is used. */
  readonly acceptsConfidence: (confidence: number | undefined) => boolean;
  /** Called at each check while the runner's silence exceeds its timeout. */
  readonly onSilent: () => void;
  /** Called once if the response has to wait because of the number of its small parts. */
  readonly onPaced?: (units: number) => void;
  /** Called if the response is given up for want of memory, with what is held of it, in bytes. */
  readonly onGivenUp?: (bytes: number) => void;
  /**
   * Called before anything is passed on to the caller.
   *
   * @returns false if another run of the call has delivered, so that nothing may be passed on
   */
  readonly claimDelivery: () => boolean;
}

/** One attempt of a call at one runner. */
export class Attempt {
  private readonly abortController = new AbortController();
  private readonly startedAt: number;
  private readonly silenceDetector: SilenceDetector;
  private isFirstOutputRecorded = false;
  private relayedEvents = 0;
  private lastRelayedId: number | undefined;
  private outputAt: number | undefined;
  private wasRunnerSilent = false;
  private wasReadingPaused = false;
  private headAt: number | undefined;
  private reading: ResponseReading | undefined;
  private runnerStatement: RunnerStatement | undefined;
  /** Whether the runner had no other request when this one was sent. */
  private wasRunnerIdle = false;
  /** Number of this request among all that this host has sent to the runner. */
  private sendNumber = 0;
  private admitted = false;
  private sentAt: number | undefined;
  private callerAgeAtSendMs: number | undefined;
  /** Whether the runner had no other request when nothing had been heard of it for a while since a sign of it. */
  private silence: {signAt: number; wasAlone: boolean} | undefined;
  /** Ends the check whether the runner's first output is overdue. */
  private stopTracking: (() => void) | undefined;

  constructor(private readonly options: Options) {
    this.startedAt = options.clock.now();
    this.silenceDetector = new SilenceDetector({
      ...options,
      hasEvents: () => this.relayedEvents > 0,
      isReadingPaused: () => this.reading?.isPaused === true,
    });
  }

  /** When the first bytes of a stream, or the complete response, arrived, on this host's clock. */
  get firstOutputAt(): number | undefined {
    return this.outputAt;
  }

  /** Whether the runner had stopped sending on all connections when the attempt ended. */
  get wasSilent(): boolean {
    return this.wasRunnerSilent;
  }

  /** Time for which this host did not read the response, in ms. */
  get pausedMs(): number {
    return this.reading?.pausedMs ?? 0;
  }

  /** Number of events that the attempt passed on. */
  get eventCount(): number {
    return this.relayedEvents;
  }

  /** Id of the last event that the attempt passed on; undefined if there was none, or it has no id. */
  get lastEventId(): number | undefined {
    return this.lastRelayedId;
  }

  /** Whether the request was admitted at the runner and is sent, or about to be. */
  get isAdmitted(): boolean {
    return this.admitted;
  }

  /** Time from the start of the attempt until its request was sent, in ms; undefined if it was not. */
  get sentAfterMs(): number | undefined {
    return this.sentAt === undefined ? undefined : this.sentAt - this.startedAt;
  }

  /** Age of this host's knowledge of its callers' connections when the request was sent, in ms: an upper bound. */
  get callerAgeMs(): number | undefined {
    return this.callerAgeAtSendMs;
  }

  /** Time since the attempt last received anything, or else since it started, in ms. */
  get silentMs(): number {
    return this.options.clock.now() - this.silenceDetector.lastProgressAt;
  }

  /** When the request was sent, on this host's clock; undefined if it was not. */
  get requestSentAt(): number | undefined {
    return this.sentAt;
  }

  /** When the runner was last heard of on any connection, or the request was sent if that was later, on this host's clock. */
  get lastSignAt(): number {
    // What the runner sends is not read now.
    if (this.reading?.isPaused) return this.options.clock.now();
    return Math.max(
      this.silenceDetector.lastProgressAt,
      this.sentAt ?? this.startedAt,
      this.options.choice.runner.heardAt,
    );
  }

  /** Whether this host ended the attempt. */
  get wasEndedByHost(): boolean {
    return this.abortReason !== undefined;
  }

  /** Whether this host was not reading the response when the attempt ended, or had not for long. */
  get wasUnread(): boolean {
    return this.wasReadingPaused || this.reading?.wasLeftUnread === true;
  }

  /**
   * Notes that nothing has been heard of the runner for a while: if it has ended, requests that are sent to it from now on
   * had no part in that.
   */
  noteRunnerSilent(): void {
    if (this.reading?.isPaused) return;
    const signAt = this.lastSignAt;
    if (this.silence?.signAt === signAt) return;
    this.silence = {signAt, wasAlone: this.isAlone};
  }

  /** Ends the attempt, although neither its runner nor the call has ended. */
  end(reason: RunEnd): void {
    this.abortController.abort(reason);
  }

  /** Whether the runner sent response headers; for a stream this means that it is running the request. */
  get hasHead(): boolean {
    return this.headAt !== undefined;
  }

  /** What the runner stated about itself in its response; undefined if it sent no response to this request. */
  get statement(): RunnerStatement | undefined {
    return this.runnerStatement;
  }

  /** Time since the response headers arrived, in ms; 0 if none have. */
  get sinceHeadMs(): number {
    if (this.headAt === undefined) return 0;
    return this.options.clock.now() - this.headAt;
  }

  /** Time from the response headers to the last sign of the runner, in ms; 0 if none have arrived. */
  get headToLastSignMs(): number {
    if (this.headAt === undefined) return 0;
    return Math.max(0, this.lastSignAt - this.headAt);
  }

  /** Whether the runner had no other request until its last sign, as far as this host knows. */
  get wasAloneAtLastSign(): boolean {
    const {silence} = this;
    return silence?.signAt === this.lastSignAt
      ? silence.wasAlone
      : this.isAlone;
  }

  /** Whether the runner has had no other request during the attempt, as far as this host knows. */
  get isAlone(): boolean {
    const {runner} = this.options.choice;
    const isLast = runner.sentCount === this.sendNumber;
    return this.wasRunnerIdle && isLast && runner.peerLoad.running === 0;
  }

  /** Sends the request and reads the response to its end. */
  async run(): Promise<AttemptOutcome> {
    const {choice, signal} = this.options;
    const {runner, workMs, held, expectation} = choice;
    const forwardAbort = () => this.abortController.abort(signal.reason);
    if (signal.aborted) forwardAbort();
    signal.addEventListener('abort', forwardAbort, {once: true});
    this.wasRunnerIdle = runner.totalRunning === 0;
    runner.noteSent(workMs, held);
    if (expectation) this.stopTracking = runner.speed.track(expectation);
    this.sendNumber = runner.sentCount;
    this.silenceDetector.start();
    try {
      return this.attributeCut(await this.exchange());
    } catch (error) {
      return this.toFailedOutcome(error);
    } finally {
      this.silenceDetector.stop();
      this.recordFirstOutput();
      this.wasRunnerSilent = runner.isQuiet && !this.reading?.isPaused;
      this.wasReadingPaused = this.reading?.isPaused === true;
      this.reading?.stop();
      if (this.admitted) runner.noteAdmittedEnded();
      const tookMs = this.options.clock.now() - this.startedAt;
      runner.noteEnded(tookMs - this.pausedMs, held);
      signal.removeEventListener('abort', forwardAbort);
    }
  }

  /** A runner may cut a response that this host has not read for long, because the caller did not read it. */
  private attributeCut(outcome: AttemptOutcome): AttemptOutcome {
    if (!outcome.isTruncated || !this.reading?.wasLeftUnread) return outcome;
    const reason = 'cut while it was not read';
    return {...outcome, reason, isTruncated: false, isCutUnread: true};
  }

  private async exchange(): Promise<AttemptOutcome> {
    const {call, choice, clock, connectionReads, model, caller, headerBuilder} =
      this.options;
    const {runner} = choice;
    const connection = await acquireConnection({
      pool: runner.pool,
      requestId: call.id,
      connectionReads,
      signal: this.abortController.signal,
    });
    if (!connection) return this.toUnsentOutcome();
    const withheldReason = this.options.admit();
    if (withheldReason !== undefined) {
      connection.release();
      return {
        kind: OutcomeKind.NOT_RUN,
        reason: withheldReason,
        isWithheld: true,
      };
    }
    this.admitted = true;
    runner.noteAdmitted();
    const headers = headerBuilder.build({
      call,
      model,
      runnerId: runner.entry.id,
      remainingMs: call.deadlineAt - clock.now(),
      lastEventId: caller.lastEventId,
      priority: this.options.enginePriority,
    });
    const {method, path, body} = call;
    const sentAt = clock.now();
    this.sentAt = sentAt;
    this.callerAgeAtSendMs = connectionReads.ageMs;
    const response = await sendRequest({
      connection,
      request: {method, path, headers, body},
      signal: this.abortController.signal,
    });
    this.headAt = clock.now();
    this.silenceDetector.recordProgress();
    if (this.isFromIntendedRunner(response))
      this.recordStatement(response, sentAt);
    const report = readLoadReport(response, this.options.headerNames.load);
    if (report) runner.noteReport(report);
    connection.noteKeepAlive(readKeepAliveSeconds(response));
    return this.readResponse(response, connection);
  }

  /** Whether the response is from the intended runner and to this request. */
  private isFromIntendedRunner({
    statusCode,
    headers,
  }: IncomingMessage): boolean {
    const {headerNames, call} = this.options;
    const id = headers[headerNames.requestId] ?? call.id;
    return statusCode !== MISDIRECTED && id === call.id;
  }

  private recordStatement(response: IncomingMessage, sentAt: number): void {
    const {headerNames, choice} = this.options;
    const statement = readRunnerStatement(response, headerNames);
    this.runnerStatement = statement;
    choice.runner.noteStatement(statement, sentAt);
  }

  /** A missing connection counts against the runner only if the call itself has not ended. */
  private toUnsentOutcome(): AttemptOutcome {
    const isRunnersFault = this.abortReason === RunEnd.SILENT;
    const kind = isRunnersFault ? OutcomeKind.NOT_RUN : OutcomeKind.UNSENT;
    return {kind, reason: String(this.abortReason)};
  }

  private readResponse(
    response: IncomingMessage,
    connection: PooledConnection,
  ): Promise<AttemptOutcome> | AttemptOutcome {
    const {headerNames, call} = this.options;
    const status = response.statusCode ?? 0;
    switch (classifyResponse(response, call, headerNames)) {
      case ResponseKind.OTHER_REQUEST:
        connection.discard();
        return {kind: OutcomeKind.BROKEN, reason: 'answer to another request'};
      case ResponseKind.UNUSABLE:
        connection.discard();
        return {
          kind: OutcomeKind.BROKEN,
          reason: 'unsigned or encoded',
          status,
        };
      case ResponseKind.STREAM:
        return this.readStream(response, connection);
      case ResponseKind.WHOLE:
        return this.readBuffered(response, connection);
      case ResponseKind.NOT_RUN:
        connection.noteUnanswered(call.id, call.deadlineAt);
        return this.dropRejection(response, connection);
      case ResponseKind.FAILURE:
        connection.noteUnanswered(call.id, call.deadlineAt);
        return this.readBuffered(response, connection);
    }
  }

  private dropRejection(
    response: IncomingMessage,
    connection: PooledConnection,
  ): AttemptOutcome {
    const {clock, choice} = this.options;
    const status = response.statusCode;
    if (status === MISDIRECTED) choice.runner.noteReplaced();
    else choice.runner.brittleness.noteRejected();
    drainResponse({clock, response, connection});
    const reason = `runner says ${status}`;
    return {kind: OutcomeKind.NOT_RUN, reason, status};
  }

  private readStream(
    response: IncomingMessage,
    connection: PooledConnection,
  ): Promise<AttemptOutcome> | AttemptOutcome {
    const {headerNames, acceptsConfidence, call, caller, claimDelivery} =
      this.options;
    const text = response.headers[headerNames.confidence];
    const confidence = text === undefined ? undefined : Number(text);
    if (!caller.hasStarted && !acceptsConfidence(confidence)) {
      connection.discard();
      return {
        kind: OutcomeKind.LOW_CONFIDENCE,
        reason: 'low confidence',
        confidence,
      };
    }
    return new EventRelay({
      response,
      method: call.method,
      reading: this.startReading(response),
      work: this.createWork(),
      held: caller.holdResponse(),
      connection,
      caller,
      confidence,
      claimDelivery,
      failureKind: () => this.failureKind(),
      abortReason: () => this.abortReason ?? connection.invalidReason,
      onBytes: () => this.recordStreamBytes(),
      onEventsComplete: () => this.silenceDetector.recordPartComplete(),
      onEvent: id => {
        this.relayedEvents += 1;
        this.lastRelayedId = id;
      },
    }).run();
  }

  private createWork(): ResponseWork {
    const {clock, workShare: share, onPaced = () => undefined} = this.options;
    return new ResponseWork({clock, share, onPaced});
  }

  private startReading(response: IncomingMessage): ResponseReading {
    const {clock, choice} = this.options;
    this.reading = new ResponseReading({
      clock,
      response,
      runner: choice.runner,
      onResumed: pausedMs => this.silenceDetector.excludePause(pausedMs),
    });
    return this.reading;
  }

  private readBuffered(
    response: IncomingMessage,
    connection: PooledConnection,
  ): Promise<AttemptOutcome> {
    return new BufferedResponseReader({
      isContinuation: this.options.caller.hasStarted,
      isVouchedFor: () => {
        const {successWeight, failureWeight} =
          this.options.choice.runner.health;
        return successWeight >= failureWeight;
      },
      onGivenUp: this.options.onGivenUp,
      reading: this.startReading(response),
      held: this.options.caller.holdResponse(),
      claimDelivery: this.options.claimDelivery,
      response,
      method: this.options.call.method,
      connection,
      failureKind: () => this.failureKind(),
      abortReason: () => this.abortReason ?? connection.invalidReason,
      onBytes: () => this.silenceDetector.recordBytes(),
      onComplete: () => {
        this.outputAt = this.silenceDetector.lastProgressAt - this.pausedMs;
      },
    }).run();
  }

  private toFailedOutcome(error: unknown): AttemptOutcome {
    if (error instanceof ConnectFailure)
      return {kind: OutcomeKind.NOT_RUN, reason: error.reason};
    const kind = this.failureKind();
    if (this.abortReason !== undefined) return {kind, reason: this.abortReason};
    const reason = error instanceof Error ? error.message : String(error);
    return {kind, reason, isTruncated: error instanceof ExchangeFailure};
  }

  /** A failure that this host caused is no failure of the runner, unless it was silent. */
  private failureKind(): OutcomeKind {
    if (this.options.signal.aborted) return OutcomeKind.CALL_ENDED;
    if (this.abortReason === RunEnd.SUPERSEDED) return OutcomeKind.SUPERSEDED;
    return OutcomeKind.BROKEN;
  }

  /** Why this host has aborted the attempt; undefined if it has not. */
  private get abortReason(): string | undefined {
    const {aborted, reason} = this.abortController.signal;
    return aborted ? String(reason) : undefined;
  }

  private recordStreamBytes(): void {
    this.silenceDetector.recordBytes();
    this.outputAt ??= this.silenceDetector.lastProgressAt;
    this.recordFirstOutput();
  }

  private recordFirstOutput(): void {
    if (this.isFirstOutputRecorded) return;
    this.isFirstOutputRecorded = true;
    const {choice} = this.options;
    choice.runner.notePrefillDone(choice.workMs);
    this.stopTracking?.();
  }
}
