import type {IncomingMessage} from 'node:http';
import {EventSplitter} from '@bayspool/decisions/calls';
import type {StreamEvent} from '@bayspool/decisions/calls';
import type {PooledConnection} from '../runners/pooled_connection.js';
import {filterResponseHeaders} from './filter_response_headers.js';
import {OutcomeKind} from './outcome_kind.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {CallerResponse} from './caller_response.js';
import type {HeldAmount} from './held_amount.js';
import {isResponseComplete} from './is_response_complete.js';
import {PendingOutcome} from './pending_outcome.js';
import type {ResponseHead} from './response_head.js';
import type {ResponseWork} from './response_work.js';
import type {ResponseReading} from './response_reading.js';

interface Options {
  readonly response: IncomingMessage;
  /** Method of the request. */
  readonly method: string;
  readonly reading: ResponseReading;
  readonly work: ResponseWork;
  readonly connection: PooledConnection;
  readonly caller: CallerResponse;
  /** What this host holds of an unfinished event. */
  readonly held: HeldAmount;
  /** The model's confidence in its response, if it reported one. */
  readonly confidence?: number;
  /** Returns the outcome kind of a failure at this time. */
  readonly failureKind: () => OutcomeKind;
  /** Why this host has aborted the attempt or closed its connection; undefined if it has not. */
  readonly abortReason: () => string | undefined;
  /** Called for each chunk, before it is processed. */
  readonly onBytes: () => void;
  /** Called when bytes have completed an event. */
  readonly onEventsComplete: () => void;
  /** Whether this run may pass on what it has; false once another run of the call has delivered. */
  readonly claimDelivery: () => boolean;
  /** Called for each event with its id, if it has one, before it is passed on. */
  readonly onEvent: (id: number | undefined) => void;
}

/** Consecutive events that are passed on, and whether one is missing behind them. */
interface DueEvents {
  readonly due: readonly StreamEvent[];
  readonly hasGap: boolean;
}

/** Bytes that are handled before the caller's send buffer is looked at again. */
const SLICE_BYTES = 4_096;
/** Smaller chunks take more time and memory by their number than by their bytes. */
const SMALL_CHUNK_BYTES = 1_024;
/** Maximum number of chunks of one event. */
const MAX_EVENT_CHUNKS = 8_192;

/** Relays the events of a runner's stream to the caller, complete and in order. */
export class EventRelay {
  private readonly splitter = new EventSplitter();
  private readonly head: ResponseHead;
  private readonly outcome: PendingOutcome;
  /** What has arrived and is not handled yet. */
  private unread: Buffer = Buffer.alloc(0);
  /** Number of chunks since the last event. */
  private chunks = 0;
  /** Whether the last chunk was large: while small ones wait, each takes an object, which costs more than handling them. */
  private isPaceable = false;
  /** Whether the reading is paused, until the caller has read or this host may handle more. */
  private isWaiting = false;

  constructor(private readonly options: Options) {
    const {response} = options;
    this.head = {
      status: response.statusCode ?? 0,
      statusText: response.statusMessage ?? '',
      headers: filterResponseHeaders(response),
    };
    const {status} = this.head;
    this.outcome = new PendingOutcome({...options, status});
  }

  /** Relays events until the stream ends or fails. */
  run(): Promise<AttemptOutcome> {
    const {response} = this.options;
    response.on('data', (chunk: Buffer) => this.relayChunk(chunk));
    response.once('end', () => this.finish());
    response.once('error', () => this.failTruncated('stream broke off'));
    response.once('close', () => this.failTruncated('stream closed'));
    void this.outcome.promise.then(() => this.release());
    return this.outcome.promise;
  }

  private release(): void {
    this.unread = Buffer.alloc(0);
    this.options.work.stop();
    this.options.held.release();
  }

  private relayChunk(chunk: Buffer): void {
    if (this.outcome.isSettled) return;
    const {connection, onBytes} = this.options;
    connection.noteBody(chunk.length);
    // The rest of a read still arrives after its connection was closed.
    if (connection.invalidReason !== undefined)
      return this.failTruncated(connection.invalidReason);
    onBytes();
    this.chunks += 1;
    this.isPaceable = chunk.length >= SMALL_CHUNK_BYTES;
    this.unread =
      this.unread.length === 0 ? chunk : Buffer.concat([this.unread, chunk]);
    if (!this.isWaiting) this.relayUnread();
    if (this.chunks > MAX_EVENT_CHUNKS)
      this.outcome.fail('event in too many chunks');
  }

  /** Relays what has arrived. @returns false if it has to wait */
  private relayUnread(): boolean {
    while (this.unread.length > 0 && !this.outcome.isSettled) {
      const hasRoom = this.relaySlice(this.takeSlice());
      const mayGoOn = this.takeWork();
      if (this.outcome.isSettled) break;
      if (hasRoom && mayGoOn) continue;
      this.wait(hasRoom);
      this.updateHeld();
      return false;
    }
    this.updateHeld();
    return true;
  }

  /** Takes work for a slice. @returns whether the response may go on */
  private takeWork(): boolean {
    const lines = this.splitter.takeLineCount();
    return this.options.work.take(lines) || !this.isPaceable;
  }

  private updateHeld(): void {
    this.options.held.set(this.splitter.pendingBytes + this.unread.length);
  }

  private takeSlice(): Buffer {
    const {unread} = this;
    this.unread = unread.subarray(SLICE_BYTES);
    return unread.subarray(0, SLICE_BYTES);
  }

  /** Relays the events that these bytes complete. @returns whether the caller can take more */
  private relaySlice(bytes: Buffer): boolean {
    const events = this.splitter.push(bytes);
    if (this.splitter.isOversized) {
      const {isBetweenEvents} = this.splitter;
      this.outcome.fail(
        isBetweenEvents ? 'too many empty lines' : 'event too large',
      );
      return false;
    }
    if (events.length === 0) return true;
    this.chunks = 0;
    this.options.onEventsComplete();
    const {due, hasGap} = this.selectDue(events);
    const hasRoom = this.relayEvents(due);
    if (hasGap) this.outcome.fail('events out of order');
    return hasRoom;
  }

  private relayEvents(events: readonly StreamEvent[]): boolean {
    const {caller, claimDelivery, onEvent} = this.options;
    if (events.length === 0 || caller.isClosed || !claimDelivery()) return true;
    for (const {id} of events) onEvent(id);
    return caller.sendEvents(this.head, events);
  }

  /** Waits until the caller has read, or else until this host may handle more of the response. */
  private wait(hasRoom: boolean): void {
    const {reading, work, caller} = this.options;
    if (!this.isWaiting) reading.pause();
    this.isWaiting = true;
    const goOn = () => {
      if (!this.relayUnread()) return;
      this.isWaiting = false;
      reading.resume();
    };
    if (hasRoom) work.wait(goOn);
    else caller.onDrain(goOn);
  }

  /** Selects the events that were not passed on before, up to a gap. */
  private selectDue(events: readonly StreamEvent[]): DueEvents {
    let last = this.options.caller.lastEventId;
    const due: StreamEvent[] = [];
    for (const event of events) {
      const {id} = event;
      if (id !== undefined && last !== undefined && id <= last) continue;
      if (id !== undefined && last !== undefined && id > last + 1)
        return {due, hasGap: true};
      last = id ?? last;
      due.push(event);
    }
    return {due, hasGap: false};
  }

  /** Passes on the events that had arrived whole, and settles the outcome. */
  private failTruncated(reason: string): void {
    this.relayRest();
    this.outcome.failTruncated(reason);
  }

  /** Passes on what is left of the last read, whether or not the caller has read what came before. */
  private relayRest(): void {
    while (this.unread.length > 0 && !this.outcome.isSettled)
      this.relaySlice(this.takeSlice());
  }

  private finish(): void {
    // A pause does not hold back an end that was read together with the last bytes.
    this.relayRest();
    if (this.outcome.isSettled) return;
    const {caller, confidence, claimDelivery} = this.options;
    const {status} = this.head;
    if (!isResponseComplete(this.options))
      return this.outcome.failTruncated('stream was reset');
    if (!this.splitter.isBetweenEvents)
      return this.outcome.failTruncated('stream broke off');
    if (!claimDelivery()) return;
    if (!caller.isClosed)
      caller.endStream(this.head, this.splitter.takePending());
    const kind = OutcomeKind.ANSWERED;
    this.outcome.succeed({kind, reason: 'whole', status, confidence});
  }
}
