import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {ChunkScanner} from './chunk_scanner.js';
import {estimateRequestBytes} from './estimate_request_bytes.js';
import {HeadScanner} from './head_scanner.js';
import {PauseReason} from './pause_reason.js';
import type {RequestPacer} from './request_pacer.js';
import {UnparsedBytes} from './unparsed_bytes.js';

interface Options {
  readonly socket: Socket;
  readonly pacer: RequestPacer;
  /** Largest number of requests whose responses have not left the process. */
  readonly maxOpen: number;
  /** Whether requests behind the end of the responses are read, too: whoever bounds their number notes them. */
  readonly readsBehindEnd: boolean;
  /** Largest head or trailers, in bytes. */
  readonly maxHeadBytes: number;
  /** Hands bytes to the HTTP parser of the connection. */
  readonly parse: (bytes: Buffer) => void;
  /** Called for a head or trailers that are too large. */
  readonly onOversized: () => void;
  /** Called for each request with the size of its header lines, in bytes. */
  readonly onHead: (request: IncomingMessage, headerBytes: number) => void;
}

/** An open request. */
interface OpenRequest {
  readonly request: IncomingMessage;
  /** Memory that is reserved for it, in bytes. */
  reservedBytes: number;
  isOpen: boolean;
}

/** What the next unparsed byte belongs to. */
const Section = {
  HEAD: 'head',
  SIZED_BODY: 'sized body',
  CHUNKS: 'chunks',
  TRAILERS: 'trailers',
} as const;
type Section = (typeof Section)[keyof typeof Section];

/** Set by Node's HTTP server while it waits for the connection to take its responses. */
interface PausableSocket {
  readonly _paused?: boolean;
}

/** Unparsed bytes above which a connection is read no further; below, its end is still noticed. */
const MAX_UNPARSED_BYTES = 65_536;
/** Largest estimate of a request that is not of unusual size, in bytes. */
const USUAL_REQUEST_BYTES = 32_768;
/** Work of a request, of so many lines of its head, and of so many bytes of a body, in units of a chunk. */
const WORK_PER_REQUEST = 16;
const LINES_PER_WORK = 4;
const BYTES_PER_WORK = 4_096;
/** Chunks that are handed on at once. */
const MAX_CHUNKS = 64;
const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

/**
 * Hands the bytes of a connection to its HTTP parser in parts: one head at a time, and only while its earlier requests
 * and those of all connections leave room. Node itself parses all that a read brought, and counts only bytes of
 * responses that wait.
 */
export class PacedConnection {
  private readonly unparsed = new UnparsedBytes();
  private readonly heads = new HeadScanner();
  private chunks = new ChunkScanner();
  private section: Section = Section.HEAD;
  private bodyLeft = 0;
  private readonly open = new Map<ServerResponse, OpenRequest>();
  /** The request that is being read, or was read last. */
  private latest: OpenRequest | undefined;
  private isPaused = false;
  private isReceiving = false;
  /** Unparsed bytes that the pacer knows of. */
  private reportedBytes = 0;
  /** Whether the parser was given the first byte of a head that has not arrived as a whole, so that its timeout runs. */
  private hasBegunHead = false;

  constructor(private readonly options: Options) {
    const {socket} = options;
    for (const event of ['resume', 'drain'])
      socket.on(event, () => this.proceedAfterPause());
    socket.once('close', () => this.close());
  }

  /** Bytes that were read and not parsed. */
  get unparsedBytes(): number {
    return this.unparsed.length;
  }

  /** Takes bytes that were read from the connection. */
  receive(chunk: Buffer): void {
    const {pacer} = this.options;
    if (this.isOver) return this.discard();
    this.unparsed.append(chunk);
    this.isReceiving = true;
    try {
      while (this.unparsed.length > 0 && pacer.mayProceed(this)) {
        const work = this.proceed();
        if (work === 0) break;
        pacer.noteWork(work);
      }
    } finally {
      this.isReceiving = false;
    }
    this.reportUnparsed();
    this.updateReading();
  }

  /** Notes a request that the parser has found, and its response. */
  add(request: IncomingMessage, response: ServerResponse): void {
    const openRequest = {request, reservedBytes: 0, isOpen: true};
    this.open.set(response, openRequest);
    this.latest = openRequest;
    response.once('close', () => this.remove(response));
  }

  /** Hands on the next part of what was read; for {@link RequestPacer}. @returns the work that this took */
  proceed(): number {
    const {socket} = this.options;
    if (socket.destroyed) return 0;
    if (this.isOver) {
      this.discard();
      return 0;
    }
    const work = this.unparsed.length === 0 ? 0 : this.handOn();
    // Within a read it is reported once, behind all that could be handed on.
    if (!this.isReceiving) {
      this.reportUnparsed();
      this.updateReading();
    }
    return work;
  }

  /** Node's HTTP server resumes a connection once its responses were taken, or the handler of a request reads on. */
  private proceedAfterPause(): void {
    if (this.unparsed.length === 0) return;
    if (this.isPaused) this.options.socket.pause();
    this.options.pacer.wait(this);
  }

  /** Closes the connection; for {@link RequestPacer}. */
  shed(): void {
    this.options.socket.destroy();
    this.discard();
  }

  /** Whether nothing more is read, as nothing can be answered. */
  private get isOver(): boolean {
    const {socket, readsBehindEnd} = this.options;
    return socket.writableEnded && !readsBehindEnd;
  }

  private handOn(): number {
    const {socket} = this.options;
    if ((socket as PausableSocket)._paused) return 0;
    switch (this.section) {
      case Section.HEAD:
        return this.handOnHead();
      case Section.SIZED_BODY:
        return this.handOnSizedBody();
      case Section.CHUNKS:
        return this.handOnChunks();
      case Section.TRAILERS:
        return this.handOnTrailers();
    }
  }

  private handOnHead(): number {
    if (!this.hasBegunHead) this.skipEmptyLines();
    if (this.unparsed.length === 0) return 0;
    const {view} = this.unparsed;
    const head = this.heads.scan(view);
    if (!head) return this.awaitHead();
    const {socket, maxOpen, pacer, onHead} = this.options;
    const isBehindEnd = socket.writableEnded;
    if (this.open.size >= maxOpen && !isBehindEnd) {
      this.heads.reset();
      return this.pauseFor(PauseReason.OPEN_REQUESTS);
    }
    const bytes = estimateRequestBytes(head.end, head.lineCount);
    const isShared = this.open.size > 0 || bytes > USUAL_REQUEST_BYTES;
    if (isShared && !pacer.reserve(bytes)) {
      this.heads.reset();
      if (!isBehindEnd) return this.waitForRoom();
      this.discard();
      return 0;
    }
    const headerBytes = head.end - view.indexOf(LINE_FEED) - 1;
    this.latest = undefined;
    this.parse(head.end);
    const begun = this.latest as OpenRequest | undefined;
    if (begun) {
      begun.reservedBytes = isShared ? bytes : 0;
      onHead(begun.request, headerBytes);
      this.beginBody(begun.request);
    } else if (isShared) {
      pacer.release(bytes);
    }
    this.hasBegunHead = false;
    return WORK_PER_REQUEST + Math.ceil(head.lineCount / LINES_PER_WORK);
  }

  /** Empty lines ahead of a request mean nothing. */
  private skipEmptyLines(): void {
    const {view} = this.unparsed;
    let count = 0;
    while (
      count < view.length &&
      (view[count] === LINE_FEED || view[count] === CARRIAGE_RETURN)
    )
      count += 1;
    if (count > 0) this.unparsed.take(count);
  }

  /** The head is not complete: it is kept here, where it takes the least memory. */
  private awaitHead(): number {
    if (this.unparsed.length > this.options.maxHeadBytes)
      return this.refuseOversized();
    const {maxOpen} = this.options;
    if (this.hasBegunHead || this.open.size >= maxOpen) return 0;
    // The parser counts the time from the first byte on.
    this.hasBegunHead = true;
    this.parse(1);
    this.heads.reset();
    return 0;
  }

  private beginBody(request: IncomingMessage): void {
    if (request.complete) return;
    if (request.headers['transfer-encoding'] !== undefined) {
      this.chunks = new ChunkScanner();
      this.section = Section.CHUNKS;
      return;
    }
    this.bodyLeft = Number(request.headers['content-length'] ?? 0);
    if (this.bodyLeft > 0) this.section = Section.SIZED_BODY;
  }

  private handOnSizedBody(): number {
    if (this.holdUpBody()) return 0;
    const count = Math.min(this.bodyLeft, this.unparsed.length);
    this.bodyLeft -= count;
    if (this.bodyLeft === 0) this.section = Section.HEAD;
    this.parse(count);
    return Math.ceil(count / BYTES_PER_WORK);
  }

  private handOnChunks(): number {
    if (this.holdUpBody()) return 0;
    const {end, chunkCount, isLast} = this.chunks.scan(
      this.unparsed.view,
      MAX_CHUNKS,
    );
    if (isLast) this.section = Section.TRAILERS;
    this.parse(end);
    return 1 + chunkCount + Math.ceil(end / BYTES_PER_WORK);
  }

  private handOnTrailers(): number {
    const trailers = this.heads.scan(this.unparsed.view);
    if (!trailers) {
      const isOversized = this.unparsed.length > this.options.maxHeadBytes;
      return isOversized ? this.refuseOversized() : 0;
    }
    const {end, lineCount} = trailers;
    if (lineCount > 0 && !this.reserveTrailers(end, lineCount)) {
      this.heads.reset();
      return this.waitForRoom();
    }
    this.section = Section.HEAD;
    this.parse(end);
    return 1 + Math.ceil(lineCount / LINES_PER_WORK);
  }

  private reserveTrailers(bytes: number, lineCount: number): boolean {
    const needed = estimateRequestBytes(bytes, lineCount);
    if (!this.options.pacer.reserve(needed)) return false;
    if (this.latest?.isOpen) this.latest.reservedBytes += needed;
    else this.options.pacer.release(needed);
    return true;
  }

  /** Pauses the connection if the handler of the request has not taken what it has of the body. @returns whether it has not */
  private holdUpBody(): boolean {
    const request = this.latest?.request;
    if (!request || request.destroyed) return false;
    const isHeldUp = request.readableLength >= request.readableHighWaterMark;
    // The request resumes a connection that is paused once its handler reads on.
    if (isHeldUp) this.pause();
    return isHeldUp;
  }

  private refuseOversized(): number {
    this.discard();
    this.options.onOversized();
    return 0;
  }

  private pauseFor(reason: PauseReason): number {
    if (this.unparsed.length > MAX_UNPARSED_BYTES && !this.isPaused)
      this.options.pacer.notePaused(reason);
    return 0;
  }

  /** Tries again when a request of any connection has ended. */
  private waitForRoom(): number {
    this.options.pacer.waitForRoom(this);
    return this.pauseFor(PauseReason.REQUEST_MEMORY);
  }

  private remove(response: ServerResponse): void {
    const openRequest = this.open.get(response);
    if (!openRequest) return;
    this.open.delete(response);
    openRequest.isOpen = false;
    const {pacer} = this.options;
    pacer.release(openRequest.reservedBytes);
    if (this.unparsed.length > 0) pacer.wait(this);
  }

  private parse(count: number): void {
    this.options.parse(this.unparsed.take(count));
  }

  private discard(): void {
    this.unparsed.clear();
    this.heads.reset();
    this.reportUnparsed();
  }

  private reportUnparsed(): void {
    const change = this.unparsed.length - this.reportedBytes;
    if (change === 0) return;
    this.reportedBytes = this.unparsed.length;
    this.options.pacer.updateUnparsed(this, change);
  }

  /** Reads on as long as little is unparsed, so that the end of the connection is noticed. */
  private updateReading(): void {
    const {pacer} = this.options;
    const {length} = this.unparsed;
    if (length > MAX_UNPARSED_BYTES) return this.pause();
    if (length > 0 && pacer.isHoldingMuch) {
      if (!this.isPaused) pacer.notePaused(PauseReason.UNPARSED_BYTES);
      return this.pause();
    }
    if (!this.isPaused || this.holdUpBody()) return;
    this.isPaused = false;
    this.options.socket.resume();
  }

  private pause(): void {
    this.isPaused = true;
    this.options.socket.pause();
  }

  private close(): void {
    this.discard();
    for (const response of [...this.open.keys()]) this.remove(response);
    this.options.pacer.forget(this);
  }
}
