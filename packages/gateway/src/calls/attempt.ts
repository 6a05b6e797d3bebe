import type {IncomingMessage} from 'node:http';
import {isStreamed} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import {ConnectFailure} from '../runners/connect_failure.js';
import type {PooledConnection} from '../runners/pooled_connection.js';
import type {RunnerChoice} from '../runners/runner_choice.js';
import {ExchangeFailure} from '../runners/exchange_failure.js';
import {sendRequest} from '../runners/send_request.js';
import {AnswerReader} from './answer_reader.js';
import {AttemptKind} from './attempt_kind.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {CallerAnswer} from './caller_answer.js';
import {EventPump} from './event_pump.js';
import type {HeaderNames} from './header_names.js';
import type {IncomingCall} from './incoming_call.js';
import {readKeepAlive} from './read_keep_alive.js';
import {readLimit} from './read_limit.js';
import {readReport} from './read_report.js';
import type {RunnerHeaders} from './runner_headers.js';
import {SilenceWatch} from './silence_watch.js';

interface Options {
  readonly clock: Clock;
  readonly names: HeaderNames;
  /** Makes the headers for a runner. */
  readonly runnerHeaders: RunnerHeaders;
  readonly call: IncomingCall;
  readonly choice: RunnerChoice;
  readonly model?: string;
  readonly caller: CallerAnswer;
  /** Aborted when the call ends before the attempt does; the reason is a short text. */
  readonly signal: AbortSignal;
  /** Why the request must not be sent to the runner now; undefined if it is. */
  readonly admit: () => string | undefined;
  /** Whether an answer of this model with this confidence is used. */
  readonly isGoodEnough: (confidence: number | undefined) => boolean;
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
  private readonly ended = new AbortController();
  private readonly startedAt: number;
  private readonly watch: SilenceWatch;
  private isFirstNoted = false;
  private eventCount = 0;
  private firstByteAt: number | undefined;
  private endedQuiet = false;
  private headAt: number | undefined;
  private limitWord: number | undefined;
  /** Whether the runner had no other request when it was sent. */
  private wasAlone = false;
  /** Which of all requests that this host sent to the runner it is. */
  private sentAs = 0;

  constructor(private readonly options: Options) {
    this.startedAt = options.clock.now();
    this.watch = new SilenceWatch({
      ...options,
      hasEvents: () => this.eventCount > 0,
      onSilent: () => this.ended.abort('silent'),
    });
  }

  /** When the first event, or the whole answer, came, on this host's clock. */
  get firstAt(): number | undefined {
    return this.firstByteAt;
  }

  /** Whether the runner had fallen silent when the attempt ended. */
  get wasQuiet(): boolean {
    return this.endedQuiet;
  }

  /** Whether the runner sent the head of its answer: for a stream, that it runs the request. */
  get hasHead(): boolean {
    return this.headAt !== undefined;
  }

  /** Requests a second that the runner named in its answer; undefined if it named no limit. */
  get namedLimit(): number | undefined {
    return this.limitWord;
  }

  /** Time since the head of the answer came, in ms; 0 if none did. */
  get sinceHeadMs(): number {
    if (this.headAt === undefined) return 0;
    return this.options.clock.now() - this.headAt;
  }

  /** Whether the runner had no other request all the while, as far as this host knows. */
  get isAlone(): boolean {
    const {runner} = this.options.choice;
    const isLast = runner.sentCount === this.sentAs;
    return this.wasAlone && isLast && runner.others.running === 0;
  }

  /** Sends the call and follows the answer to its end. */
  async run(): Promise<AttemptOutcome> {
    const {choice, signal} = this.options;
    const {runner, workMs} = choice;
    const follow = () => this.ended.abort(signal.reason);
    if (signal.aborted) follow();
    signal.addEventListener('abort', follow, {once: true});
    this.wasAlone = runner.totalRunning === 0;
    runner.noteSent(workMs);
    this.sentAs = runner.sentCount;
    this.watch.start();
    try {
      return await this.exchange();
    } catch (error) {
      return this.toOutcome(error);
    } finally {
      this.watch.stop();
      this.noteFirst();
      this.endedQuiet = runner.isQuiet;
      runner.noteEnded(this.options.clock.now() - this.startedAt);
      signal.removeEventListener('abort', follow);
    }
  }

  private async exchange(): Promise<AttemptOutcome> {
    const {call, choice, clock, model, caller, runnerHeaders} = this.options;
    const {runner} = choice;
    const connection = await this.connect();
    if (!connection) return this.endUnsent();
    const refusal = this.options.admit();
    if (refusal !== undefined) {
      connection.release();
      return {kind: AttemptKind.NOT_RUN, reason: refusal, isWithheld: true};
    }
    const headers = runnerHeaders.make({
      call,
      model,
      runner: runner.entry.id,
      leftMs: call.deadlineAt - clock.now(),
      lastEventId: caller.lastEventId,
    });
    const {method, path, body} = call;
    const sentAt = clock.now();
    const answer = await sendRequest({
      connection,
      request: {method, path, headers, body},
      signal: this.ended.signal,
    });
    this.headAt = clock.now();
    this.watch.noteProgress();
    if (this.isOfRunner(answer)) this.noteLimit(answer, sentAt);
    const report = readReport(answer, this.options.names.load);
    if (report) runner.noteReport(report);
    connection.noteKeepAlive(readKeepAlive(answer));
    return this.read(answer, connection);
  }

  /** Whether it is the runner that was meant which answers this request. */
  private isOfRunner({statusCode, headers}: IncomingMessage): boolean {
    const {names, call} = this.options;
    const id = headers[names.requestId] ?? call.id;
    return statusCode !== MISDIRECTED && id === call.id;
  }

  private noteLimit(answer: IncomingMessage, sentAt: number): void {
    const {names, clock, choice} = this.options;
    const word = readLimit(answer, names.limit);
    this.limitWord = word.perSecond;
    choice.runner.limit.noteAnswer(word, sentAt, clock.now());
  }

  /** A connection to the runner; undefined if the attempt ends before there is one. */
  private connect(): Promise<PooledConnection | undefined> {
    const {signal} = this.ended;
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
  private endUnsent(): AttemptOutcome {
    const kind = this.options.signal.aborted
      ? AttemptKind.UNSENT
      : AttemptKind.NOT_RUN;
    return {kind, reason: this.endReason()};
  }

  private read(
    answer: IncomingMessage,
    connection: PooledConnection,
  ): Promise<AttemptOutcome> | AttemptOutcome {
    const {names, call, choice} = this.options;
    const status = answer.statusCode ?? 0;
    const id = answer.headers[names.requestId];
    if (id !== undefined && id !== call.id) {
      connection.discard();
      return {kind: AttemptKind.BROKEN, reason: 'answer to another request'};
    }
    if (status === MISDIRECTED || answer.headers[names.notRun] !== undefined) {
      if (status === MISDIRECTED) choice.runner.noteReplaced();
      answer.resume();
      return {
        kind: AttemptKind.NOT_RUN,
        reason: `runner says ${status}`,
        status,
      };
    }
    const isSuccess = status >= OK && status < REDIRECT;
    if (isSuccess && !this.isSigned(answer)) {
      connection.discard();
      return {kind: AttemptKind.BROKEN, reason: 'unsigned or encoded', status};
    }
    if (isSuccess && isStreamed(call.route.kind))
      return this.readStream(answer, connection);
    return this.readWhole(answer, connection);
  }

  private isSigned(answer: IncomingMessage): boolean {
    const {names} = this.options;
    return (
      answer.headers[names.signature] !== undefined &&
      answer.headers['content-encoding'] === undefined
    );
  }

  private readStream(
    answer: IncomingMessage,
    connection: PooledConnection,
  ): Promise<AttemptOutcome> | AttemptOutcome {
    const {names, isGoodEnough, caller} = this.options;
    const text = answer.headers[names.confidence];
    const confidence = text === undefined ? undefined : Number(text);
    if (!caller.hasBegun && !isGoodEnough(confidence)) {
      connection.discard();
      return {kind: AttemptKind.WEAK, reason: 'low confidence', confidence};
    }
    return new EventPump({
      answer,
      connection,
      caller,
      confidence,
      failureKind: () => this.failureKind(),
      isEnded: () => this.ended.signal.aborted,
      onBytes: () => this.noteStreamBytes(),
      onEvent: () => {
        this.eventCount += 1;
      },
    }).run();
  }

  private readWhole(
    answer: IncomingMessage,
    connection: PooledConnection,
  ): Promise<AttemptOutcome> {
    return new AnswerReader({
      answer,
      connection,
      failureKind: () => this.failureKind(),
      isEnded: () => this.ended.signal.aborted,
      onBytes: () => this.watch.noteProgress(),
      onWhole: () => {
        this.firstByteAt = this.watch.lastProgressAt;
      },
    }).run();
  }

  private toOutcome(error: unknown): AttemptOutcome {
    if (error instanceof ConnectFailure)
      return {kind: AttemptKind.NOT_RUN, reason: error.reason};
    const kind = this.failureKind();
    if (this.ended.signal.aborted) return {kind, reason: this.endReason()};
    const reason = error instanceof Error ? error.message : String(error);
    return {kind, reason, isCutOff: error instanceof ExchangeFailure};
  }

  /** A failure that this host caused by ending the call counts as its end. */
  private failureKind(): AttemptKind {
    return this.options.signal.aborted ? AttemptKind.ENDED : AttemptKind.BROKEN;
  }

  private endReason(): string {
    return String(this.ended.signal.reason);
  }

  private noteStreamBytes(): void {
    this.watch.noteProgress();
    this.firstByteAt ??= this.watch.lastProgressAt;
    this.noteFirst();
  }

  private noteFirst(): void {
    if (this.isFirstNoted) return;
    this.isFirstNoted = true;
    const {choice} = this.options;
    choice.runner.noteFirst(choice.workMs);
  }
}
