import {hashToUint32, OutlierDetector} from '@bayspool/decisions/calls';
import type {RunnerEntry} from '@bayspool/decisions/calls';
import {RunnerSpeed} from '@bayspool/decisions/capacity';
import type {SpeedExpectation} from '@bayspool/decisions/capacity';
import type {Clock} from '@bayspool/kernel';
import type {ConnectionPool} from './connection_pool.js';
import {Brittleness} from './brittleness.js';
import {PeerLoad} from './peer_load.js';
import type {HeldWork} from './held_work.js';
import {RunnerOccupancy} from './runner_occupancy.js';
import {DeclaredLimit} from './declared_limit.js';
import type {LimitChange} from './limit_change.js';
import type {RoomChange} from './room_change.js';
import type {RunnerLoad} from './runner_load.js';
import type {RunnerStatement} from './runner_statement.js';
import {StatedAvailability} from './stated_availability.js';
import {RefusalShare} from './refusal_share.js';
import type {LoadReport} from './load_report.js';

interface Options {
  readonly clock: Clock;
  readonly entry: RunnerEntry;
  readonly pool: ConnectionPool;
  /** Called when another runner answers at the address of this one. */
  readonly onReplaced?: () => void;
  /** What the runner has stated of its availability; nothing yet if absent. */
  readonly availability?: StatedAvailability;
  /** Called when bytes arrive from the runner. */
  readonly onHeard?: () => void;
  /** Called when the runner is found to be brittle, or to have less room. */
  readonly onRoomChange?: (change: RoomChange) => void;
  /** Called when the limit that the runner declares has changed. */
  readonly onLimitChange?: (change: LimitChange) => void;
}

/** Weight of one measurement in the mean time to the first byte. */
const FIRST_BYTE_WEIGHT = 0.1;
/** Silence that is always tolerated, in ms: a few steps of a full engine. */
const MIN_QUIET_MS = 200;
/** Further tolerated silence, as a multiple of the mean gap between bytes. */
const GAP_FACTOR = 6;
/** Further tolerated silence, as a multiple of the pending prefill time. */
const PENDING_FACTOR = 4;
/** Weight of one measurement in the mean duration of a request. */
const DURATION_WEIGHT = 0.1;
/** Weight of one measurement in the mean gap between bytes. */
const GAP_WEIGHT = 0.05;
/** Weight of one request in the mean prefill time. */
const WORK_WEIGHT = 0.1;

/** One incarnation of a runner as this host knows it: its entry, connections, load and outcomes. */
export class Runner {
  readonly health: OutlierDetector;
  readonly refusals: RefusalShare;
  /** How slow the runner is, from the times of its responses to all hosts. */
  readonly speed: RunnerSpeed;
  /** Slot time and memory of the requests in flight. */
  readonly occupancy = new RunnerOccupancy();
  readonly pool: ConnectionPool;
  /** Load of the other hosts at the runner. */
  readonly peerLoad: PeerLoad;
  /** The limit that the runner declares for all hosts together. */
  readonly limit: DeclaredLimit;
  /** Whether the runner takes requests, by its own statements. */
  readonly availability: StatedAvailability;
  /** Whether it states that it fails if it rejects too many requests, and its room. */
  readonly brittleness: Brittleness;
  /** 32-bit hash of the id. */
  readonly idHash: number;
  private currentEntry: RunnerEntry;
  private running = 0;
  /** Number of requests whose responses this host does not read at present. */
  private unreadCount = 0;
  private sentTotal = 0;
  private pendingMs = 0;
  private replaced = false;
  private lastBytesAt: number;
  private lastHeardAt = -Infinity;
  private meanFirstByteMs = 0;
  private meanGapMs = 0;
  private meanDurationMs = 0;
  private awaitingFirstByte = 0;
  private admittedCount = 0;
  private lastUnreachableAt = -Infinity;
  private meanWorkMs = 0;
  /** End of the cold phase after a start; 0 if the runner is not cold. */
  private coldUntil = 0;

  constructor(private readonly options: Options) {
    this.currentEntry = options.entry;
    this.updateCold(options.entry);
    this.idHash = hashToUint32(options.entry.id);
    this.pool = options.pool;
    this.health = new OutlierDetector({clock: options.clock});
    this.refusals = new RefusalShare({clock: options.clock});
    this.speed = new RunnerSpeed({clock: options.clock});
    this.lastBytesAt = options.clock.now();
    this.peerLoad = new PeerLoad(options);
    const {clock, availability = new StatedAvailability({clock})} = options;
    this.availability = availability;
    this.brittleness = new Brittleness({
      clock,
      slots: () => this.slots,
      onChange: options.onRoomChange,
    });
    this.limit = new DeclaredLimit({
      clock: options.clock,
      onChange: options.onLimitChange,
    });
  }

  /** The newest entry of the runner. */
  get entry(): RunnerEntry {
    return this.currentEntry;
  }

  /** The id of the runner, which may stay the same across restarts. */
  get id(): string {
    return this.currentEntry.id;
  }

  /** Number of requests that the runner can run at once. */
  get slots(): number {
    return this.currentEntry.slots;
  }

  /** Whether another runner answered at the address of this one. */
  get isReplaced(): boolean {
    return this.replaced;
  }

  /** When this host last received bytes from the runner, or now if it waits for none. */
  get silentSince(): number {
    return this.awaitsBytes ? this.lastBytesAt : this.options.clock.now();
  }

  /** Mean time to the first byte, in ms; 0 until measured. */
  get usualFirstByteMs(): number {
    return this.meanFirstByteMs;
  }

  /** Whether the runner has requests of this host and has sent nothing for much longer than usual. */
  get isQuiet(): boolean {
    if (!this.awaitsBytes) return false;
    const quietMs = this.options.clock.now() - this.lastBytesAt;
    return quietMs > this.toleratedSilenceMs;
  }

  /** Silence of the runner that is not unusual while it has requests, in ms. */
  get toleratedSilenceMs(): number {
    const expectedMs =
      this.meanGapMs * GAP_FACTOR + this.pendingMs * PENDING_FACTOR;
    return MIN_QUIET_MS + expectedMs;
  }

  /** When bytes last arrived from the runner, on this host's clock; -Infinity if none did. */
  get heardAt(): number {
    return this.lastHeardAt;
  }

  /** Load and outcomes of this host at the runner. */
  get ownLoad(): RunnerLoad {
    return {
      running: this.running,
      pendingMs: this.pendingMs,
      ok: this.health.successWeight,
      failed: this.health.failureWeight,
    };
  }

  /** Number of requests that this host has sent to the runner so far. */
  get sentCount(): number {
    return this.sentTotal;
  }

  /** Requests in flight from all hosts. */
  get totalRunning(): number {
    return this.running + this.peerLoad.running;
  }

  /** Requests in flight of this host alone. */
  get ownRunning(): number {
    return this.running;
  }

  /** Mean duration of this host's requests, in ms; 0 until measured. */
  get usualDurationMs(): number {
    return this.meanDurationMs;
  }

  /** Mean prefill time of this host's requests, in ms; 0 until there was one. */
  get usualPrefillMs(): number {
    return this.meanWorkMs;
  }

  /** Pending prefill time of all hosts' requests, in ms. */
  get totalPendingMs(): number {
    return this.pendingMs + this.peerPendingMs;
  }

  /** Expected wait for a slot, in ms: on average, a slot becomes free after the mean duration divided by the slots. */
  get slotWaitMs(): number {
    const over = this.totalRunning - this.currentEntry.slots + 1;
    if (over <= 0) return 0;
    return (over * this.meanDurationMs) / Math.max(1, this.currentEntry.slots);
  }

  /** Unfinished slot time of all hosts' requests without prompts, in ms at nominal speed. */
  get totalSlotMs(): number {
    return this.occupancy.totalSlotMs(this.peerLoad.running);
  }

  /** Memory of all hosts' requests in flight, in tokens. */
  get totalMemoryTokens(): number {
    return this.occupancy.totalTokens(this.peerLoad.running);
  }

  /** Ratio of actual to expected time right now; 1 until measured. */
  get slowness(): number {
    return this.speed.slowness;
  }

  /** Notes the time to a first event or whole response, in ms, and what was expected of it, if anything was. */
  noteLatency(tookMs: number, expectation?: SpeedExpectation): void {
    this.meanFirstByteMs += FIRST_BYTE_WEIGHT * (tookMs - this.meanFirstByteMs);
    if (expectation) this.speed.record(tookMs, expectation);
  }

  /** Replaces the entry by a newer one of the same incarnation. */
  update(entry: RunnerEntry): void {
    this.currentEntry = entry;
    this.updateCold(entry);
  }

  /** Whether the runner has recently started and is still slow. */
  get isCold(): boolean {
    return this.coldUntil > 0 && this.options.clock.now() < this.coldUntil;
  }

  private updateCold({coldLeftMs = 0}: RunnerEntry): void {
    this.coldUntil = coldLeftMs > 0 ? this.options.clock.now() + coldLeftMs : 0;
  }

  /** Notes that bytes arrived from the runner. */
  noteBytes(): void {
    const now = this.options.clock.now();
    if (this.awaitsBytes)
      this.meanGapMs += GAP_WEIGHT * (now - this.lastBytesAt - this.meanGapMs);
    this.lastBytesAt = now;
    this.lastHeardAt = now;
    this.options.onHeard?.();
  }

  /** When a connection to the runner last failed or broke, on this host's clock; -Infinity if none did. */
  get unreachableAt(): number {
    return this.lastUnreachableAt;
  }

  /** Notes that a connection to the runner could not be opened, or broke without a complete response. */
  noteUnreachable(): void {
    this.lastUnreachableAt = this.options.clock.now();
  }

  /** Notes that this host stops reading a response: what does not arrive now is no silence of the runner. */
  noteReadingPaused(): void {
    this.unreadCount += 1;
  }

  /** Notes that this host reads such a response again, or that its request has ended. */
  noteReadingResumed(): void {
    if (!this.awaitsBytes) this.lastBytesAt = this.options.clock.now();
    this.unreadCount -= 1;
  }

  private get awaitsBytes(): boolean {
    return this.running > this.unreadCount;
  }

  /**
   * Notes what the runner stated about itself in a response to this host.
   *
   * @param sentAt when the request was sent, on this host's clock
   */
  noteStatement(statement: RunnerStatement, sentAt: number): void {
    this.availability.updateFromResponse(statement);
    this.brittleness.updateFromResponse(
      statement.brittle.perSecond,
      this.inFlight + this.peerLoad.running,
    );
    const now = this.options.clock.now();
    this.limit.updateFromResponse(statement.limit, sentAt, now);
  }

  /** Notes the load that the runner reported with a response to this host. */
  noteReport(report: LoadReport): void {
    // The request that this response belongs to is no longer waiting.
    const waiting = this.awaitingFirstByte - 1;
    this.peerLoad.updateFromReport(report, {running: this.running, waiting});
    if (report.slowness !== undefined) this.speed.recordReport(report.slowness);
  }

  private get peerPendingMs(): number {
    return this.peerLoad.pendingMs(this.meanWorkMs);
  }

  /** Notes that a request is sent; its prefill time is pending until {@link notePrefillDone}. */
  noteSent(workMs: number, held?: HeldWork): void {
    if (held) this.occupancy.add(held);
    this.awaitingFirstByte += 1;
    this.meanWorkMs += WORK_WEIGHT * (workMs - this.meanWorkMs);
    if (!this.awaitsBytes) this.lastBytesAt = this.options.clock.now();
    this.running += 1;
    this.sentTotal += 1;
    this.pendingMs += workMs;
  }

  /** Notes that the prefill of a request is no longer pending: its first byte arrived, or the request ended. */
  notePrefillDone(workMs: number): void {
    this.awaitingFirstByte -= 1;
    this.pendingMs = Math.max(0, this.pendingMs - workMs);
  }

  /** Number of this host's requests that were sent to the runner and have not ended. */
  get inFlight(): number {
    return this.admittedCount;
  }

  /** Notes that a request passed admission and is sent now. */
  noteAdmitted(): void {
    this.admittedCount += 1;
  }

  /** Notes that an admitted request ended. */
  noteAdmittedEnded(): void {
    this.admittedCount -= 1;
  }

  /** @param forMs duration of the request */
  noteEnded(forMs: number, held?: HeldWork): void {
    if (held) this.occupancy.remove(held);
    this.running = Math.max(0, this.running - 1);
    this.meanDurationMs += DURATION_WEIGHT * (forMs - this.meanDurationMs);
  }

  /** Notes that the address now belongs to another runner. */
  noteReplaced(): void {
    this.replaced = true;
    this.options.onReplaced?.();
    this.retire();
  }

  /** Closes idle connections; those in use close when their responses end. */
  retire(): void {
    this.pool.close();
  }
}
