import type {IncomingMessage} from 'node:http';
import {isStreamed} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import {ConnectFailure} from '../runners/connect_failure.js';
import type {PooledConnection} from '../runners/pooled_connection.js';
import type {RunnerChoice} from '../runners/runner_choice.js';
import {ExchangeFailure} from '../runners/exchange_failure.js';
import {sendRequest} from '../runners/send_request.js';
import {BufferedResponseReader} from './buffered_response_reader.js';
import {OutcomeKind} from './outcome_kind.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {CallerResponse} from './caller_response.js';
import {EventRelay} from './event_relay.js';
import type {HeaderNames} from './header_names.js';
import type {IncomingCall} from './incoming_call.js';
import {readKeepAliveSeconds} from './read_keep_alive_seconds.js';
import {readLimit} from './read_limit.js';
import {readRunnerReport} from './read_runner_report.js';
import type {RunnerHeaderBuilder} from './runner_header_builder.js';
import {SilenceDetector} from './silence_detector.js';

interface Options {
  readonly clock: Clock;
  readonly headerNames: HeaderNames;
  /** Makes the headers for a runner. */
  readonly headerBuilder: RunnerHeaderBuilder;
  readonly call: IncomingCall;
  readonly choice: RunnerChoice;
  readonly model?: string;
  readonly caller: CallerResponse;
  /** Aborted when the call ends before the attempt does; the reason is a short text. */
  readonly signal: AbortSignal;
  /** Why the request must not be sent to the runner now; undefined if it is. */
  readonly admit: () => string | undefined;
  /** Whether an answer of this model with this confidence is used. */
  readonly acceptsConfidence: (confidence: number | undefined) => boolean;
  /** Whether the call could be sent to another runner if this one falls silent. */
  readonly hasOtherRunner: () => boolean;
}

/** Status by which a runner says that another one was meant. */
const MISDIRECTED = 421;
/** Statuses from this one up to {@link REDIRECT} are successes. */
const OK = 200;
const REDIRECT = 300;

/** One try of a call at one runner. */
export class Attempt {
  private readonly abortController = new AbortController();
  private readonly startedAt: number;
  private readonly silenceDetector: SilenceDetector;
  private isFirstOutputRecorded = false;
  private eventCount = 0;
  private outputAt: number | undefined;
  private wasRunnerSilent = false;
  private headAt: number | undefined;
  private declaredPerSecond: number | undefined;
  /** Whether the runner had no other request when it was sent. */
  private wasRunnerIdle = false;
  /** Which of all requests that this host sent to the runner it is. */
  private sendNumber = 0;

  constructor(private readonly options: Options) {
    this.startedAt = options.clock.now();
    this.silenceDetector = new SilenceDetector({
      ...options,
      hasEvents: () => this.eventCount > 0,
      onSilent: () => this.abortController.abort('silent'),
    });
  }

  /** When the first event, or the whole answer, came, on this host's clock. */
  get firstOutputAt(): number | undefined {
    return this.outputAt;
  }

  /** Whether the runner had fallen silent when the attempt ended. */
  get wasSilent(): boolean {
    return this.wasRunnerSilent;
  }

  /** Whether the runner sent the head of its answer: for a stream, that it runs the request. */
  get hasHead(): boolean {
    return this.headAt !== undefined;
  }

  /** Requests a second that the runner named in its answer; undefined if it named no limit. */
  get declaredLimit(): number | undefined {
    return this.declaredPerSecond;
  }

  /** Time since the head of the answer came, in ms; 0 if none did. */
  get sinceHeadMs(): number {
    if (this.headAt === undefined) return 0;
    return this.options.clock.now() - this.headAt;
  }

  /** Whether the runner had no other request all the while, as far as this host knows. */
  get isAlone(): boolean {
    const {runner} = this.options.choice;
    const isLast = runner.sentCount === this.sendNumber;
    return this.wasRunnerIdle && isLast && runner.peerLoad.running === 0;
  }

  /** Sends the call and follows the answer to its end. */
  async run(): Promise<AttemptOutcome> {
    const {choice, signal} = this.options;
    const {runner, workMs} = choice;
    const follow = () => this.abortController.abort(signal.reason);
    if (signal.aborted) follow();
    signal.addEventListener('abort', follow, {once: true});
    this.wasRunnerIdle = runner.totalRunning === 0;
    runner.noteSent(workMs);
    this.sendNumber = runner.sentCount;
    this.silenceDetector.start();
    try {
      return await this.exchange();
    } catch (error) {
      return this.toFailedOutcome(error);
    } finally {
      this.silenceDetector.stop();
      this.recordFirstOutput();
      this.wasRunnerSilent = runner.isQuiet;
      runner.noteEnded(this.options.clock.now() - this.startedAt);
      signal.removeEventListener('abort', follow);
    }
  }

  private async exchange(): Promise<AttemptOutcome> {
    const {
      call,
      choice,
      clock,
      model,
      caller,
      headerBuilder: runnerHeaders,
    } = this.options;
    const {runner} = choice;
    const connection = await this.connect();
    if (!connection) return this.toUnsentOutcome();
    const refusal = this.options.admit();
    if (refusal !== undefined) {
      connection.release();
      return {kind: OutcomeKind.NOT_RUN, reason: refusal, isWithheld: true};
    }
    const headers = runnerHeaders.build({
      call,
      model,
      runnerId: runner.entry.id,
      remainingMs: call.deadlineAt - clock.now(),
      lastEventId: caller.lastEventId,
    });
    const {method, path, body} = call;
    const sentAt = clock.now();
    const answer = await sendRequest({
      connection,
      request: {method, path, headers, body},
      signal: this.abortController.signal,
    });
    this.headAt = clock.now();
    this.silenceDetector.recordProgress();
    if (this.isFromIntendedRunner(answer)) this.recordLimit(answer, sentAt);
    const report = readRunnerReport(answer, this.options.headerNames.load);
    if (report) runner.noteReport(report);
    connection.noteKeepAlive(readKeepAliveSeconds(answer));
    return this.readResponse(answer, connection);
  }

  /** Whether it is the runner that was meant which answers this request. */
  private isFromIntendedRunner({
    statusCode,
    headers,
  }: IncomingMessage): boolean {
    const {headerNames: names, call} = this.options;
    const id = headers[names.requestId] ?? call.id;
    return statusCode !== MISDIRECTED && id === call.id;
  }

  private recordLimit(answer: IncomingMessage, sentAt: number): void {
    const {headerNames: names, clock, choice} = this.options;
    const word = readLimit(answer, names.limit);
    this.declaredPerSecond = word.perSecond;
    choice.runner.limit.updateFromResponse(word, sentAt, clock.now());
  }

  /** A connection to the runner; undefined if the attempt ends before there is one. */
  private connect(): Promise<PooledConnection | undefined> {
    const {signal} = this.abortController;
    const {pool} = this.options.choice.runner;
    return new Promise((resolve, reject) => {
      const giveUp = () => resolve(undefined);
      if (signal.aborted) return giveUp();
      signal.addEventListener('abort', giveUp, {once: true});
      pool.acquire().then(connection => {
        signal.removeEventListener('abort', giveUp);
        if (signal.aborted) connection.release();
        else resolve(connection);
      }, reject);
    });
  }

  /** Only a call that goes on can blame the runner for the connection that did not come up. */
  private toUnsentOutcome(): AttemptOutcome {
    const kind = this.options.signal.aborted
      ? OutcomeKind.UNSENT
      : OutcomeKind.NOT_RUN;
    return {kind, reason: this.abortReason()};
  }

  private readResponse(
    answer: IncomingMessage,
    connection: PooledConnection,
  ): Promise<AttemptOutcome> | AttemptOutcome {
    const {headerNames: names, call, choice} = this.options;
    const status = answer.statusCode ?? 0;
    const id = answer.headers[names.requestId];
    if (id !== undefined && id !== call.id) {
      connection.discard();
      return {kind: OutcomeKind.BROKEN, reason: 'answer to another request'};
    }
    if (status === MISDIRECTED || answer.headers[names.notRun] !== undefined) {
      if (status === MISDIRECTED) choice.runner.noteReplaced();
      answer.resume();
      return {
        kind: OutcomeKind.NOT_RUN,
        reason: `runner says ${status}`,
        status,
      };
    }
    const isSuccess = status >= OK && status < REDIRECT;
    if (isSuccess && !this.isSignedAndUnencoded(answer)) {
      connection.discard();
      return {kind: OutcomeKind.BROKEN, reason: 'unsigned or encoded', status};
    }
    if (isSuccess && isStreamed(call.route.kind))
      return this.readStream(answer, connection);
    return this.readBuffered(answer, connection);
  }

  private isSignedAndUnencoded(answer: IncomingMessage): boolean {
    const {headerNames: names} = this.options;
    return (
      answer.headers[names.signature] !== undefined &&
      answer.headers['content-encoding'] === undefined
    );
  }

  private readStream(
    answer: IncomingMessage,
    connection: PooledConnection,
  ): Promise<AttemptOutcome> | AttemptOutcome {
    const {
      headerNames: names,
      acceptsConfidence: isGoodEnough,
      caller,
    } = this.options;
    const text = answer.headers[names.confidence];
    const confidence = text === undefined ? undefined : Number(text);
    if (!caller.hasStarted && !isGoodEnough(confidence)) {
      connection.discard();
      return {
        kind: OutcomeKind.LOW_CONFIDENCE,
        reason: 'low confidence',
        confidence,
      };
    }
    return new EventRelay({
      response: answer,
      connection,
      caller,
      confidence,
      failureKind: () => this.failureKind(),
      isAborted: () => this.abortController.signal.aborted,
      onBytes: () => this.recordStreamBytes(),
      onEvent: () => {
        this.eventCount += 1;
      },
    }).run();
  }

  private readBuffered(
    answer: IncomingMessage,
    connection: PooledConnection,
  ): Promise<AttemptOutcome> {
    return new BufferedResponseReader({
      response: answer,
      connection,
      failureKind: () => this.failureKind(),
      isAborted: () => this.abortController.signal.aborted,
      onBytes: () => this.silenceDetector.recordProgress(),
      onComplete: () => {
        this.outputAt = this.silenceDetector.lastProgressAt;
      },
    }).run();
  }

  private toFailedOutcome(error: unknown): AttemptOutcome {
    if (error instanceof ConnectFailure)
      return {kind: OutcomeKind.NOT_RUN, reason: error.reason};
    const kind = this.failureKind();
    if (this.abortController.signal.aborted)
      return {kind, reason: this.abortReason()};
    const reason = error instanceof Error ? error.message : String(error);
    return {kind, reason, isTruncated: error instanceof ExchangeFailure};
  }

  /** A failure that this host caused by ending the call counts as its end. */
  private failureKind(): OutcomeKind {
    return this.options.signal.aborted
      ? OutcomeKind.CALL_ENDED
      : OutcomeKind.BROKEN;
  }

  private abortReason(): string {
    return String(this.abortController.signal.reason);
  }

  private recordStreamBytes(): void {
    this.silenceDetector.recordProgress();
    this.outputAt ??= this.silenceDetector.lastProgressAt;
    this.recordFirstOutput();
  }

  private recordFirstOutput(): void {
    if (this.isFirstOutputRecorded) return;
    this.isFirstOutputRecorded = true;
    const {choice} = this.options;
    choice.runner.notePrefillDone(choice.workMs);
  }
}
