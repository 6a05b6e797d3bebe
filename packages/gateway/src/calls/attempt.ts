import type {IncomingMessage} from 'node:http';
import {EventSplitter, isStreamed} from '@bayspool/decisions/calls';
import type {StreamEvent} from '@bayspool/decisions/calls';
import type {Clock, Timer} from '@bayspool/kernel';
import {ConnectFailure} from '../runners/connect_failure.js';
import type {PooledConnection} from '../runners/pooled_connection.js';
import type {RunnerChoice} from '../runners/runner_choice.js';
import {sendRequest} from '../runners/send_request.js';
import {answerHeaders} from './answer_headers.js';
import {AttemptKind} from './attempt_kind.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {CallerAnswer} from './caller_answer.js';
import type {HeaderNames} from './header_names.js';
import type {IncomingCall} from './incoming_call.js';
import {readKeepAlive} from './read_keep_alive.js';
import {runnerHeaders} from './runner_headers.js';
import {isTooSilent} from './silence_rule.js';

interface Options {
  readonly clock: Clock;
  readonly names: HeaderNames;
  readonly call: IncomingCall;
  readonly choice: RunnerChoice;
  readonly model?: string;
  readonly caller: CallerAnswer;
  /** Aborted when the call ends before the attempt does; the reason is a short text. */
  readonly signal: AbortSignal;
  /** Whether an answer of this model with this confidence is used. */
  readonly isGoodEnough: (confidence: number | undefined) => boolean;
  /** Whether the call could be sent to another runner if this one falls silent. */
  readonly hasOtherRunner: () => boolean;
}

const MISDIRECTED = 421;
const SERVER_ERROR = 500;
const OK = 200;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;
const REDIRECT = 300;
/** A whole answer that is larger is taken as spoiled; callers' bodies are bounded alike, in bytes. */
const MAX_ANSWER_BYTES = 16_777_216;
/** Pause between two looks at whether the runner has fallen silent, in ms. */
const WATCH_MS = 50;

/** One try of a call at one runner. */
export class Attempt {
  private readonly ended = new AbortController();
  private readonly startedAt: number;
  private progressAt: number;
  private watch: Timer | undefined;
  private isFirstNoted = false;
  private eventCount = 0;
  private firstByteAt: number | undefined;
  private endedQuiet = false;

  constructor(private readonly options: Options) {
    this.startedAt = options.clock.now();
    this.progressAt = this.startedAt;
  }

  /** When the first event, or the whole answer, came, on this host's clock. */
  get firstAt(): number | undefined {
    return this.firstByteAt;
  }

  /** Whether the runner had fallen silent when the attempt ended. */
  get wasQuiet(): boolean {
    return this.endedQuiet;
  }

  async run(): Promise<AttemptOutcome> {
    const {choice, signal} = this.options;
    const {runner, workMs} = choice;
    const follow = () => this.ended.abort(signal.reason);
    if (signal.aborted) follow();
    signal.addEventListener('abort', follow, {once: true});
    runner.noteSent(workMs);
    this.watchSilence();
    try {
      return await this.exchange();
    } catch (error) {
      return this.toOutcome(error);
    } finally {
      this.watch?.cancel();
      this.noteFirst();
      this.endedQuiet = runner.isQuiet;
      runner.noteEnded(this.options.clock.now() - this.startedAt);
      signal.removeEventListener('abort', follow);
    }
  }

  private async exchange(): Promise<AttemptOutcome> {
    const {call, choice, names, clock, model, caller} = this.options;
    const {runner} = choice;
    const connection = await runner.pool.acquire();
    if (this.ended.signal.aborted) {
      connection.discard();
      return {kind: AttemptKind.NOT_RUN, reason: this.endReason()};
    }
    const headers = runnerHeaders({
      call,
      names,
      model,
      runner: runner.entry.id,
      leftMs: call.deadlineAt - clock.now(),
      lastEventId: caller.lastEventId,
    });
    const {method, path, body} = call;
    const answer = await sendRequest({
      connection,
      request: {method, path, headers, body},
      signal: this.ended.signal,
    });
    this.noteProgress();
    connection.noteKeepAlive(readKeepAlive(answer));
    return this.read(answer, connection);
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
    return this.pump(answer, connection, confidence);
  }

  private pump(
    answer: IncomingMessage,
    connection: PooledConnection,
    confidence: number | undefined,
  ): Promise<AttemptOutcome> {
    const {caller} = this.options;
    const status = answer.statusCode ?? 0;
    const splitter = new EventSplitter();
    const isUnframed = !isFramed(answer);
    const head = {
      status,
      isUnframed,
      statusText: answer.statusMessage ?? '',
      headers: answerHeaders(answer),
    };
    return new Promise(resolve => {
      let isSettled = false;
      const fail = (reason: string) => {
        // Node closes an answer behind its end too; the connection is sound then.
        if (isSettled) return;
        isSettled = true;
        connection.discard();
        resolve({kind: this.failureKind(), reason, status, confidence});
      };
      answer.on('data', (chunk: Buffer) => {
        this.noteProgress();
        this.firstByteAt ??= this.progressAt;
        this.noteFirst();
        if (isSettled) return;
        const events = splitter.push(chunk);
        if (splitter.isOversized) return fail('event too large');
        for (const event of events) {
          const verdict = this.checkOrder(event);
          if (verdict === 'gap') return fail('events out of order');
          if (verdict === 'seen' || caller.isClosed) continue;
          this.eventCount += 1;
          if (caller.sendEvent(head, event)) continue;
          answer.pause();
          caller.onRoom(() => answer.resume());
        }
      });
      answer.once('end', () => {
        if (isSettled) return;
        if (!isWhole(answer, connection) || splitter.pendingBytes > 0)
          return fail('stream broke off');
        if (isUnframed && !caller.acceptsUnframed)
          return fail('end of the stream is not certain');
        isSettled = true;
        if (!caller.isClosed) caller.finishStream(head);
        resolve({
          kind: AttemptKind.ANSWERED,
          reason: 'whole',
          status,
          confidence,
        });
      });
      answer.once('error', () => fail('stream broke off'));
      answer.once('close', () => fail('stream closed'));
    });
  }

  /** Whether an event is the next one, was passed on before, or leaves some out. */
  private checkOrder(event: StreamEvent): 'next' | 'seen' | 'gap' {
    const last = this.options.caller.lastEventId;
    if (event.id === undefined || last === undefined) return 'next';
    if (event.id <= last) return 'seen';
    return event.id === last + 1 ? 'next' : 'gap';
  }

  private readWhole(
    answer: IncomingMessage,
    connection: PooledConnection,
  ): Promise<AttemptOutcome> {
    const status = answer.statusCode ?? 0;
    return new Promise(resolve => {
      const chunks: Buffer[] = [];
      let size = 0;
      let isSettled = false;
      const fail = (reason: string) => {
        if (isSettled) return;
        isSettled = true;
        connection.discard();
        resolve({kind: this.failureKind(), reason, status});
      };
      answer.on('data', (chunk: Buffer) => {
        this.noteProgress();
        size += chunk.length;
        if (size > MAX_ANSWER_BYTES) return fail('answer too large');
        chunks.push(chunk);
      });
      answer.once('end', () => {
        if (isSettled) return;
        if (!isWhole(answer, connection)) return fail('answer broke off');
        this.firstByteAt = this.progressAt;
        isSettled = true;
        const body = Buffer.concat(chunks);
        const isUnframed = !isFramed(answer);
        resolve({
          kind:
            status >= SERVER_ERROR
              ? AttemptKind.RUNNER_ERROR
              : AttemptKind.ANSWERED,
          reason: `status ${status}`,
          status,
          answer: {
            status,
            statusText: answer.statusMessage ?? '',
            headers: answerHeaders(
              answer,
              isUnframed ? undefined : body.length,
            ),
            body,
            isUnframed,
          },
        });
      });
      answer.once('error', () => fail('answer broke off'));
      answer.once('close', () => fail('answer closed'));
    });
  }

  private toOutcome(error: unknown): AttemptOutcome {
    if (error instanceof ConnectFailure)
      return {kind: AttemptKind.NOT_RUN, reason: error.reason};
    const reason = this.ended.signal.aborted
      ? this.endReason()
      : error instanceof Error
        ? error.message
        : String(error);
    return {kind: this.failureKind(), reason};
  }

  /** A failure that this host caused by ending the call counts as its end. */
  private failureKind(): AttemptKind {
    return this.options.signal.aborted ? AttemptKind.ENDED : AttemptKind.BROKEN;
  }

  private endReason(): string {
    return String(this.ended.signal.reason);
  }

  private watchSilence(): void {
    const {clock} = this.options;
    this.watch = clock.after(WATCH_MS, () => {
      if (this.isSilent()) this.ended.abort('silent');
      else this.watchSilence();
    });
  }

  private isSilent(): boolean {
    const {clock, call, choice, hasOtherRunner} = this.options;
    const now = clock.now();
    const {runner} = choice;
    const isSilent = isTooSilent(call.route, runner, {
      quietMs: now - this.progressAt,
      longestPauseMs: this.options.caller.longestPauseMs,
      hasEvents: this.eventCount > 0,
      expectedMs: choice.workMs + runner.totalPendingMs,
    });
    return isSilent && hasOtherRunner();
  }

  private noteProgress(): void {
    this.progressAt = this.options.clock.now();
    this.options.choice.runner.noteHeard();
  }

  private noteFirst(): void {
    if (this.isFirstNoted) return;
    this.isFirstNoted = true;
    const {choice} = this.options;
    choice.runner.noteFirst(choice.workMs);
  }
}

/**
 * Whether an answer came to its end. Node takes one without a length as complete when its connection
 * is reset, because the parser is told of an end in either case.
 */
function isWhole(
  answer: IncomingMessage,
  connection: PooledConnection,
): boolean {
  return answer.complete && !connection.hasFailed;
}

/** Whether an answer tells its end by a length or chunks, rather than by its connection's end. */
function isFramed({headers, statusCode}: IncomingMessage): boolean {
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined ||
    statusCode === NO_CONTENT ||
    statusCode === NOT_MODIFIED
  );
}
