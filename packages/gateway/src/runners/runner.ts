import {hashToUint32, OutlierDetector} from '@bayspool/decisions/calls';
import type {RunnerEntry} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {ConnectionPool} from './connection_pool.js';
import {PeerLoad} from './peer_load.js';
import {DeclaredLimit} from './declared_limit.js';
import type {LimitChange} from './limit_change.js';
import type {RunnerLoad} from './runner_load.js';
import type {LoadReport} from './load_report.js';

interface Options {
  readonly clock: Clock;
  readonly entry: RunnerEntry;
  readonly pool: ConnectionPool;
  /** Called when another runner answers at its address. */
  readonly onReplaced?: () => void;
  /** Called when what it says it takes has changed. */
  readonly onLimitChange?: (change: LimitChange) => void;
}

/** Bounds of one measurement of slowness, so that a single answer does not decide. */
const MIN_SLOWNESS = 0.5;
const MAX_SLOWNESS = 4;
/** Weight of one measurement of the usual time to a first byte. */
const FIRST_BYTE_WEIGHT = 0.1;
/** Silence that says nothing yet, in ms: some steps of a full engine. */
const MIN_QUIET_MS = 200;
/** How many times its usual gap between bytes a runner may be silent besides. */
const GAP_FACTOR = 6;
/** How many times the reading it has to do a runner may be silent besides. */
const PENDING_FACTOR = 4;
/** Weight of one duration in the mean. */
const DURATION_WEIGHT = 0.1;
/** Weight of one gap between bytes in the mean. */
const GAP_WEIGHT = 0.05;
/** Weight of one measurement of slowness. */
const SLOWNESS_WEIGHT = 0.08;
/** Weight of one request's reading in the mean. */
const WORK_WEIGHT = 0.1;

/** One start of a runner as this host knows it: its entry, connections, load and outcomes. */
export class Runner {
  readonly health: OutlierDetector;
  readonly pool: ConnectionPool;
  /** What other hosts have there. */
  readonly peerLoad: PeerLoad;
  /** What it says it takes from all hosts together. */
  readonly limit: DeclaredLimit;
  /** Hash of its id, in 32 bits. */
  readonly idHash: number;
  private currentEntry: RunnerEntry;
  private running = 0;
  private sentTotal = 0;
  private pendingMs = 0;
  private replaced = false;
  private lastBytesAt: number;
  private slownessMean = 1;
  private meanFirstByteMs = 0;
  private meanGapMs = 0;
  private meanDurationMs = 0;
  private awaitingFirstByte = 0;
  private meanWorkMs = 0;
  /** 0 for a runner that is not cold. */
  private coldUntil = 0;

  constructor(private readonly options: Options) {
    this.currentEntry = options.entry;
    this.updateCold(options.entry);
    this.idHash = hashToUint32(options.entry.id);
    this.pool = options.pool;
    this.health = new OutlierDetector({clock: options.clock});
    this.lastBytesAt = options.clock.now();
    this.peerLoad = new PeerLoad(options);
    this.limit = new DeclaredLimit({
      clock: options.clock,
      onChange: options.onLimitChange,
    });
  }

  /** Its newest entry. */
  get entry(): RunnerEntry {
    return this.currentEntry;
  }

  /** Its id, which each start of a runner has anew. */
  get id(): string {
    return this.currentEntry.id;
  }

  /** Requests that it can run at once. */
  get slots(): number {
    return this.currentEntry.slots;
  }

  /** Whether another runner answered at its address. */
  get isReplaced(): boolean {
    return this.replaced;
  }

  /** When this host last got bytes from it, or had nothing to wait for. */
  get silentSince(): number {
    return this.running === 0 ? this.options.clock.now() : this.lastBytesAt;
  }

  /** How long it usually takes to a first byte, in ms; 0 until measured. */
  get usualFirstByteMs(): number {
    return this.meanFirstByteMs;
  }

  /** Whether it has work of this host and has sent nothing for much longer than it usually takes. */
  get isQuiet(): boolean {
    const quietMs = this.options.clock.now() - this.silentSince;
    const expectedMs =
      this.meanGapMs * GAP_FACTOR + this.pendingMs * PENDING_FACTOR;
    return quietMs > MIN_QUIET_MS + expectedMs;
  }

  /** What this host itself has there. */
  get ownLoad(): RunnerLoad {
    return {
      running: this.running,
      pendingMs: this.pendingMs,
      ok: this.health.successWeight,
      failed: this.health.failureWeight,
    };
  }

  /** Requests that this host has sent there so far. */
  get sentCount(): number {
    return this.sentTotal;
  }

  /** Requests that all hosts have there. */
  get totalRunning(): number {
    return this.running + this.peerLoad.running;
  }

  /** Reading that all hosts have there, in ms. */
  get totalPendingMs(): number {
    return this.pendingMs + this.peerPendingMs;
  }

  /** Expected wait for a slot, in ms: the runner ends one request in every mean duration over its slots. */
  get slotWaitMs(): number {
    const over = this.totalRunning - this.currentEntry.slots + 1;
    if (over <= 0) return 0;
    return (over * this.meanDurationMs) / Math.max(1, this.currentEntry.slots);
  }

  /** How many times longer it takes than expected; 1 until measured. */
  get slowness(): number {
    return this.slownessMean;
  }

  /** Notes how long a first event or whole answer took against what was expected, in ms. */
  noteLatency(tookMs: number, expectedMs: number): void {
    this.meanFirstByteMs += FIRST_BYTE_WEIGHT * (tookMs - this.meanFirstByteMs);
    const ratio = Math.min(
      MAX_SLOWNESS,
      Math.max(MIN_SLOWNESS, tookMs / Math.max(1, expectedMs)),
    );
    this.slownessMean += SLOWNESS_WEIGHT * (ratio - this.slownessMean);
  }

  /** Takes over a newer entry of the same start. */
  update(entry: RunnerEntry): void {
    this.currentEntry = entry;
    this.updateCold(entry);
  }

  /** Whether it is still slow from its start. */
  get isCold(): boolean {
    return this.coldUntil > 0 && this.options.clock.now() < this.coldUntil;
  }

  private updateCold({coldLeftMs = 0}: RunnerEntry): void {
    this.coldUntil = coldLeftMs > 0 ? this.options.clock.now() + coldLeftMs : 0;
  }

  /** Notes that bytes came from it. */
  noteBytes(): void {
    const now = this.options.clock.now();
    if (this.running > 0)
      this.meanGapMs += GAP_WEIGHT * (now - this.lastBytesAt - this.meanGapMs);
    this.lastBytesAt = now;
  }

  /** Its silence up to now was not its own: nothing was read of what it sent. */
  resetSilence(): void {
    this.lastBytesAt = this.options.clock.now();
  }

  /** Notes what it said of itself with an answer of this host. */
  noteReport(report: LoadReport): void {
    // The request whose answer this is waits no more.
    const waiting = this.awaitingFirstByte - 1;
    this.peerLoad.updateFromReport(report, {running: this.running, waiting});
  }

  private get peerPendingMs(): number {
    return this.peerLoad.pendingMs(this.meanWorkMs);
  }

  /** Notes a request on its way; the work counts until {@link notePrefillDone}. */
  noteSent(workMs: number): void {
    this.awaitingFirstByte += 1;
    this.meanWorkMs += WORK_WEIGHT * (workMs - this.meanWorkMs);
    if (this.running === 0) this.lastBytesAt = this.options.clock.now();
    this.running += 1;
    this.sentTotal += 1;
    this.pendingMs += workMs;
  }

  /** Notes that the work of a request is done: its first byte came, or it ended. */
  notePrefillDone(workMs: number): void {
    this.awaitingFirstByte -= 1;
    this.pendingMs = Math.max(0, this.pendingMs - workMs);
  }

  /** @param forMs how long the request was there */
  noteEnded(forMs: number): void {
    this.running = Math.max(0, this.running - 1);
    this.meanDurationMs += DURATION_WEIGHT * (forMs - this.meanDurationMs);
  }

  /** Notes that its address belongs to another runner now. */
  noteReplaced(): void {
    this.replaced = true;
    this.options.onReplaced?.();
    this.retire();
  }

  /** Closes resting connections; those in use end with their answers. */
  retire(): void {
    this.pool.close();
  }
}
