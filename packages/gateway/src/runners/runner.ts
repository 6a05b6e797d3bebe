import {hashToUint32, OutlierDetector} from '@bayspool/decisions/calls';
import type {RunnerEntry} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {ConnectionPool} from './connection_pool.js';
import {OthersLoad} from './others_load.js';
import {RunnerLimit} from './runner_limit.js';
import type {LimitChange} from './limit_change.js';
import type {RunnerLoad} from './runner_load.js';
import type {RunnerReport} from './runner_report.js';

interface Options {
  readonly clock: Clock;
  readonly entry: RunnerEntry;
  readonly pool: ConnectionPool;
  /** Called when another runner answers at its address. */
  readonly onReplaced?: () => void;
  /** Called when what it says it takes has changed. */
  readonly onLimit?: (change: LimitChange) => void;
}

/** Bounds of one measurement of slowness, so that a single answer does not decide. */
const MIN_SLOWNESS = 0.5;
const MAX_SLOWNESS = 4;
/** Weight of one measurement of the usual time to a first byte. */
const USUAL_RATE = 0.1;
/** Silence that says nothing yet, in ms: some steps of a full engine. */
const MIN_QUIET_MS = 200;
/** How many times its usual gap between bytes a runner may be silent besides. */
const GAP_TIMES = 6;
/** How many times the reading it has to do a runner may be silent besides. */
const PENDING_TIMES = 4;
/** Weight of one duration in the mean. */
const DURATION_RATE = 0.1;
/** Weight of one gap between bytes in the mean. */
const GAP_RATE = 0.05;
/** Weight of one measurement of slowness. */
const SLOWNESS_RATE = 0.08;
/** Weight of one request's reading in the mean. */
const WORK_RATE = 0.1;

/** One start of a runner as this host knows it: its entry, connections, load and outcomes. */
export class Runner {
  readonly health: OutlierDetector;
  readonly pool: ConnectionPool;
  /** What other hosts have there. */
  readonly others: OthersLoad;
  /** What it says it takes from all hosts together. */
  readonly limit: RunnerLimit;
  /** Hash of its id, in 32 bits. */
  readonly idHash: number;
  private current: RunnerEntry;
  private running = 0;
  private sent = 0;
  private pendingMs = 0;
  private replaced = false;
  private lastHeard: number;
  private slownessMean = 1;
  private usualMs = 0;
  private gapMs = 0;
  private durationMs = 0;
  private unread = 0;
  private workMs = 0;
  /** 0 for a runner that is not cold. */
  private coldUntil = 0;

  constructor(private readonly options: Options) {
    this.current = options.entry;
    this.noteCold(options.entry);
    this.idHash = hashToUint32(options.entry.id);
    this.pool = options.pool;
    this.health = new OutlierDetector({clock: options.clock});
    this.lastHeard = options.clock.now();
    this.others = new OthersLoad(options);
    this.limit = new RunnerLimit({
      clock: options.clock,
      onChange: options.onLimit,
    });
  }

  /** Its newest entry. */
  get entry(): RunnerEntry {
    return this.current;
  }

  /** Its id, which each start of a runner has anew. */
  get id(): string {
    return this.current.id;
  }

  /** Requests that it can run at once. */
  get slots(): number {
    return this.current.slots;
  }

  /** Whether another runner answered at its address. */
  get isReplaced(): boolean {
    return this.replaced;
  }

  /** When this host last got bytes from it, or had nothing to wait for. */
  get lastHeardAt(): number {
    return this.running === 0 ? this.options.clock.now() : this.lastHeard;
  }

  /** How long it usually takes to a first byte, in ms; 0 until measured. */
  get usualFirstMs(): number {
    return this.usualMs;
  }

  /** Whether it has work of this host and has sent nothing for much longer than it usually takes. */
  get isQuiet(): boolean {
    const quietMs = this.options.clock.now() - this.lastHeardAt;
    const expectedMs = this.gapMs * GAP_TIMES + this.pendingMs * PENDING_TIMES;
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
    return this.sent;
  }

  /** Requests that all hosts have there. */
  get totalRunning(): number {
    return this.running + this.others.running;
  }

  /** Reading that all hosts have there, in ms. */
  get totalPendingMs(): number {
    return this.pendingMs + this.othersPendingMs;
  }

  /** Expected wait for a slot, in ms: the runner ends one request in every mean duration over its slots. */
  get slotWaitMs(): number {
    const over = this.totalRunning - this.current.slots + 1;
    if (over <= 0) return 0;
    return (over * this.durationMs) / Math.max(1, this.current.slots);
  }

  /** How many times longer it takes than expected; 1 until measured. */
  get slowness(): number {
    return this.slownessMean;
  }

  /** Notes how long a first event or whole answer took against what was expected, in ms. */
  learnSlowness(tookMs: number, expectedMs: number): void {
    this.usualMs += USUAL_RATE * (tookMs - this.usualMs);
    const ratio = Math.min(
      MAX_SLOWNESS,
      Math.max(MIN_SLOWNESS, tookMs / Math.max(1, expectedMs)),
    );
    this.slownessMean += SLOWNESS_RATE * (ratio - this.slownessMean);
  }

  /** Takes over a newer entry of the same start. */
  update(entry: RunnerEntry): void {
    this.current = entry;
    this.noteCold(entry);
  }

  /** Whether it is still slow from its start. */
  get isCold(): boolean {
    return this.coldUntil > 0 && this.options.clock.now() < this.coldUntil;
  }

  private noteCold({coldLeftMs = 0}: RunnerEntry): void {
    this.coldUntil = coldLeftMs > 0 ? this.options.clock.now() + coldLeftMs : 0;
  }

  /** Notes that bytes came from it. */
  noteHeard(): void {
    const now = this.options.clock.now();
    if (this.running > 0)
      this.gapMs += GAP_RATE * (now - this.lastHeard - this.gapMs);
    this.lastHeard = now;
  }

  /** Its silence up to now was not its own: nothing was read of what it sent. */
  excuseSilence(): void {
    this.lastHeard = this.options.clock.now();
  }

  /** Notes what it said of itself with an answer of this host. */
  noteReport(report: RunnerReport): void {
    // The request whose answer this is waits no more.
    const waiting = this.unread - 1;
    this.others.noteReport(report, {running: this.running, waiting});
  }

  private get othersPendingMs(): number {
    return this.others.pendingMs(this.workMs);
  }

  /** Notes a request on its way; the work counts until {@link noteFirst}. */
  noteSent(workMs: number): void {
    this.unread += 1;
    this.workMs += WORK_RATE * (workMs - this.workMs);
    if (this.running === 0) this.lastHeard = this.options.clock.now();
    this.running += 1;
    this.sent += 1;
    this.pendingMs += workMs;
  }

  /** Notes that the work of a request is done: its first byte came, or it ended. */
  noteFirst(workMs: number): void {
    this.unread -= 1;
    this.pendingMs = Math.max(0, this.pendingMs - workMs);
  }

  /** @param forMs how long the request was there */
  noteEnded(forMs: number): void {
    this.running = Math.max(0, this.running - 1);
    this.durationMs += DURATION_RATE * (forMs - this.durationMs);
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
