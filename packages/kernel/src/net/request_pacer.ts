import {PauseReason} from './pause_reason.js';

/** What the pacer needs to know of a connection. */
interface Connection {
  /** Bytes that were read and not parsed. */
  readonly unparsedBytes: number;
  /**
   * Hands on the next part of what was read, as far as it may.
   *
   * @returns the work that this took, 0 if nothing could be handed on
   */
  readonly proceed: () => number;
  /** Closes it, because of the memory that it takes. */
  readonly shed: () => void;
}

interface Options {
  /** Memory that open requests of all connections may take, in bytes. */
  readonly maxRequestBytes?: number;
  /** Bytes of all connections that may be read and not parsed. */
  readonly maxUnparsedBytes?: number;
}

/** Notified when the pacer acts. */
interface Listener {
  /** A connection is read no further for now. */
  readonly onPaused: (reason: PauseReason) => void;
  /** A connection is closed. */
  readonly onShed: (unparsedBytes: number) => void;
}

/** Work of a turn of the event loop, in units of a chunk of a body. */
const WORK_PER_TURN = 1_024;

/** Connections that try again when a request has given memory back. */
const MAX_WOKEN = 4;

/** Bounds of a process with a heap of 160 MB, in bytes. */
const DEFAULT_MAX_REQUEST_BYTES = 33_554_432;
const DEFAULT_MAX_UNPARSED_BYTES = 16_777_216;

/**
 * Bounds what all connections of a process make it hold before their requests are handled, and lets the connections
 * take turns. The first request of a connection is bounded by the number of connections; what it sends ahead, and
 * requests with heads of unusual size, share a part of the memory.
 */
export class RequestPacer {
  /** Connections that wait for their turn. */
  private readonly waiting = new Set<Connection>();
  /** Connections that wait until requests have given memory back. */
  private readonly waitingForRoom = new Set<Connection>();
  private readonly holding = new Set<Connection>();
  private requestBytes = 0;
  private unparsedBytes = 0;
  private workLeft = WORK_PER_TURN;
  private isTurnScheduled = false;

  private readonly maxRequestBytes: number;
  private readonly maxUnparsedBytes: number;
  private readonly listeners: Listener[] = [];

  constructor({
    maxRequestBytes = DEFAULT_MAX_REQUEST_BYTES,
    maxUnparsedBytes = DEFAULT_MAX_UNPARSED_BYTES,
  }: Options = {}) {
    this.maxRequestBytes = maxRequestBytes;
    this.maxUnparsedBytes = maxUnparsedBytes;
  }

  /** Registers a listener for what the pacer does from now on. */
  observe(listener: Listener): void {
    this.listeners.push(listener);
  }

  /** Memory that open requests take which share the bound, in bytes. */
  get sharedRequestBytes(): number {
    return this.requestBytes;
  }

  /** Bytes that were read and not parsed, of all connections. */
  get heldUnparsedBytes(): number {
    return this.unparsedBytes;
  }

  /** Whether so much is held that connections with unparsed bytes are read no further. */
  get isHoldingMuch(): boolean {
    return this.unparsedBytes >= this.maxUnparsedBytes / 2;
  }

  /** Whether a connection may hand on what it has read now; if not, it gets its turn. */
  mayProceed(connection: Connection): boolean {
    if (this.waiting.size === 0 && this.workLeft > 0) return true;
    this.wait(connection);
    return false;
  }

  /** Lets a connection proceed in its turn. */
  wait(connection: Connection): void {
    this.waiting.add(connection);
    this.scheduleTurn();
  }

  /** Notes work that was done outside of a turn of the connection. */
  noteWork(work: number): void {
    this.workLeft -= work;
    // Not for each request: a turn costs as much as a small part of one.
    if (this.workLeft < WORK_PER_TURN / 2) this.scheduleTurn();
  }

  /** Reserves memory for a request that shares the bound. @returns whether there was room */
  reserve(bytes: number): boolean {
    // A single one goes on whatever its size.
    if (
      this.requestBytes > 0 &&
      this.requestBytes + bytes > this.maxRequestBytes
    )
      return false;
    this.requestBytes += bytes;
    return true;
  }

  /** Gives memory back that was reserved. */
  release(bytes: number): void {
    if (bytes === 0) return;
    this.requestBytes -= bytes;
    let count = 0;
    for (const connection of this.waitingForRoom) {
      if (count === MAX_WOKEN) return;
      count += 1;
      this.waitingForRoom.delete(connection);
      this.wait(connection);
    }
  }

  /** Lets a connection proceed once requests have given memory back. */
  waitForRoom(connection: Connection): void {
    this.waitingForRoom.add(connection);
  }

  /** Notes that a connection is read no further. */
  notePaused(reason: PauseReason): void {
    for (const {onPaused} of this.listeners) onPaused(reason);
  }

  /** Notes how many unparsed bytes a connection holds, and closes those with most of them while all hold too many. */
  updateUnparsed(connection: Connection, change: number): void {
    this.unparsedBytes += change;
    if (connection.unparsedBytes > 0) this.holding.add(connection);
    else this.holding.delete(connection);
    if (change > 0) this.shed();
  }

  /** Forgets a connection that has closed. */
  forget(connection: Connection): void {
    this.waiting.delete(connection);
    this.waitingForRoom.delete(connection);
    this.holding.delete(connection);
  }

  private shed(): void {
    while (
      this.unparsedBytes > this.maxUnparsedBytes &&
      this.holding.size > 0
    ) {
      const largest = [...this.holding].reduce((a, b) =>
        b.unparsedBytes > a.unparsedBytes ? b : a,
      );
      for (const {onShed} of this.listeners) onShed(largest.unparsedBytes);
      this.holding.delete(largest);
      largest.shed();
    }
  }

  private scheduleTurn(): void {
    if (this.isTurnScheduled) return;
    this.isTurnScheduled = true;
    setImmediate(() => this.runTurn());
  }

  private runTurn(): void {
    this.isTurnScheduled = false;
    this.workLeft = WORK_PER_TURN;
    for (const connection of this.waiting) {
      if (this.workLeft <= 0) break;
      this.waiting.delete(connection);
      const work = connection.proceed();
      this.workLeft -= work;
      // Behind the others that wait.
      if (work > 0 && connection.unparsedBytes > 0)
        this.waiting.add(connection);
    }
    if (this.waiting.size > 0) this.scheduleTurn();
  }
}
