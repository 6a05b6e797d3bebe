import {hashToUint32} from '@bayspool/decisions/calls';
import type {RunnerEntry} from '@bayspool/decisions/calls';
import type {Clock, Timer} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import {getIncarnationId} from '../runners/get_incarnation_id.js';
import type {ListenerState} from '../runners/listener_state.js';
import type {Runner} from '../runners/runner.js';
import {RunnerEndEvidence} from '../runners/runner_end_evidence.js';
import {RunEnd} from './run_end.js';
import {RunSettlement} from './run_settlement.js';
import {GoneIncarnations} from './gone_incarnations.js';
import {isEndBySuccessor} from './is_end_by_successor.js';
import {SettlementRecorder} from './settlement_recorder.js';
import {SilentRunnerConnects} from './silent_runner_connects.js';
import type {UnsettledRun} from './unsettled_run.js';
import type {WatchedRun} from './watched_run.js';
import {MIN_SILENT_MS} from './min_silent_ms.js';
import {WatchedRunner} from './watched_runner.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  /** Finds out by one connect whether a process listens at an address. */
  readonly checkListener: (address: string) => Promise<ListenerState>;
  /** All runners known now. */
  readonly runners: () => readonly Runner[];
  /** Applies what holds only if this host's own links work, once another runner is heard of. */
  readonly whenConfirmed: (runner: Runner, apply: () => void) => void;
  /** Called with the hash of the incarnation of a runner that is there, whether or not its end was recorded. */
  readonly onReturned: (start: number) => void;
}

/** Time between two reviews of the runners that have runs, in ms. */
const REVIEW_INTERVAL_MS = 100;
/** Refused connects in a row after which runs that wait for the runner are ended. */
const REFUSALS_TO_END_RUNS = 2;
/** Time after bytes from a runner within which the entry of its successor would have come, in ms. */
const SUCCESSOR_DELAY_MS = 1_000;
/** Time for which a runner that counts as ended is watched for bytes, in ms. */
const RETURN_WATCH_MS = 60_000;
/** Most runs that ended and are kept, over all runners. */
const MAX_UNSETTLED_RUNS = 512;

/**
 * Learns of runners that end without closing their connections. A run that ends while nothing is heard of its runner stays
 * unsettled: silence alone says nothing, as a slow or suspended runner and a cut link look alike. It counts if the runner
 * turns out to have ended since, and is dropped if the runner is heard of again.
 */
export class SilentRunnerMonitor {
  private readonly watched = new Map<string, WatchedRunner>();
  private readonly gone = new GoneIncarnations();
  private readonly recorder: SettlementRecorder;
  private readonly connects: SilentRunnerConnects;
  private timer: Timer | undefined;
  private isStopped = false;

  constructor(private readonly options: Options) {
    this.recorder = new SettlementRecorder(options);
    this.connects = new SilentRunnerConnects({
      ...options,
      onRefused: watched => this.applyRefusal(watched),
      onUnanswered: watched =>
        this.settleEnd(watched, RunnerEndEvidence.REMOVED),
    });
  }

  /** Watches the runner of a run until the returned function is called. */
  watch(runner: Runner, run: WatchedRun): () => void {
    const watched = this.getOrAdd(runner);
    watched.active.add(run);
    return () => watched.active.delete(run);
  }

  /** Whether runs are kept that ended while nothing was heard of their runners. */
  get hasUnsettledRuns(): boolean {
    for (const {endedCount} of this.watched.values())
      if (endedCount > 0) return true;
    return false;
  }

  /** Keeps a run that ended while nothing was heard of its runner, until more is known. */
  add(runner: Runner, run: UnsettledRun): void {
    const watched = this.getOrAdd(runner);
    const {end} = watched;
    const now = this.options.clock.now();
    const silentMs = now - run.lastSignAt;
    if (end && watched.heardAt <= end.at) {
      // What was sent to a runner that had ended has no part in it.
      if (run.sentAt < end.at) this.settleAsEnded(watched, run);
      return;
    }
    if (this.countUnsettled() >= MAX_UNSETTLED_RUNS || !watched.add(run))
      return;
    if (silentMs < MIN_SILENT_MS) return;
    this.options.log.write('run_unsettled', {
      request: run.request,
      runner: runner.id,
      silentMs: Math.round(silentMs),
    });
  }

  /** Drops what is kept against a request that was answered, and against the parts of its prompt. */
  recordAnswer(fingerprint: string, parts: readonly string[]): void {
    for (const watched of this.watched.values())
      watched.dropAnswered(fingerprint, parts);
  }

  /** Notes that a run at a runner has been silent for too long. */
  noteSilence(runner: Runner): void {
    const watched = this.watched.get(getIncarnationId(runner.entry));
    if (watched) watched.isSuspected = true;
  }

  /** Notes that a connection to a runner was refused. */
  noteRefused(runner: Runner): void {
    const watched = this.watched.get(getIncarnationId(runner.entry));
    if (!watched) return;
    watched.isSuspected = true;
    if (watched.silentMs(this.options.clock.now()) < MIN_SILENT_MS) return;
    this.applyRefusal(watched);
  }

  /** Notes that another runner answers at the address of this one. */
  noteReplaced(runner: Runner): void {
    const watched = this.watched.get(getIncarnationId(runner.entry));
    if (watched) this.settleEnd(watched, RunnerEndEvidence.REPLACED);
  }

  /**
   * Notes that the entry of a runner went.
   *
   * @param isRestarted whether a later incarnation is there under its id
   */
  noteRemoved(runner: Runner, isRestarted: boolean): void {
    const id = getIncarnationId(runner.entry);
    const watched = this.watched.get(id);
    this.gone.remember(id, false);
    if (!watched) return;
    if (isRestarted)
      return this.settleEnd(watched, RunnerEndEvidence.RESTARTED);
    watched.removedAt = this.options.clock.now();
    watched.connects.scheduleAt(-Infinity);
  }

  /** Notes the entry of a runner that was not known, or not any more. */
  noteEntered(entry: RunnerEntry): void {
    const id = getIncarnationId(entry);
    // Without the time of its start, a runner that was started again under its id looks the same.
    if (entry.bornAt !== undefined) this.noteBack(id, entry.id);
    for (const [otherId, watched] of this.watched)
      if (otherId !== id && watched.runner.entry.address === entry.address)
        this.settleEnd(watched, RunnerEndEvidence.REPLACED);
    const known = this.watched.get(id);
    if (known && known.runner.entry.address !== entry.address)
      this.settleEnd(known, RunnerEndEvidence.RESTARTED);
  }

  /** Settles what is kept of an incarnation whose entry is back. */
  private noteBack(id: string, runnerId: string): void {
    if (!this.gone.has(id)) return;
    this.retract(id, runnerId, 'entry is back');
    const watched = this.watched.get(id);
    for (const run of watched?.takeAll() ?? [])
      this.recorder.record(watched!, run, RunSettlement.ALIVE);
  }

  /** Stops all connects. */
  stop(): void {
    this.isStopped = true;
    this.connects.stop();
    this.timer?.cancel();
  }

  private getOrAdd(runner: Runner): WatchedRunner {
    const id = getIncarnationId(runner.entry);
    const known = this.watched.get(id);
    known?.adopt(runner);
    if (known) return known;
    const watched = new WatchedRunner(runner);
    this.watched.set(id, watched);
    this.scheduleReview();
    return watched;
  }

  private countUnsettled(): number {
    let count = 0;
    for (const {endedCount} of this.watched.values()) count += endedCount;
    return count;
  }

  private scheduleReview(): void {
    if (this.timer || this.isStopped) return;
    this.timer = this.options.clock.after(REVIEW_INTERVAL_MS, () => {
      this.timer = undefined;
      this.review();
      if (this.watched.size > 0) this.scheduleReview();
    });
  }

  private review(): void {
    const now = this.options.clock.now();
    for (const [id, watched] of [...this.watched]) {
      this.settleHeard(id, watched, now);
      this.noteSilentRuns(watched, now);
      this.endWaitingRuns(watched);
      this.connects.startIfDue(watched);
      if (watched.isOver(now, RETURN_WATCH_MS)) this.watched.delete(id);
    }
  }

  /** Drops runs whose runner was heard of again, or of whose runner nothing was learned. */
  private settleHeard(id: string, watched: WatchedRunner, now: number): void {
    const {runner, end} = watched;
    const heard = watched.takeHeard(now, SUCCESSOR_DELAY_MS);
    for (const run of heard)
      this.recorder.record(watched, run, RunSettlement.ALIVE);
    for (const run of watched.takeExpired(now))
      this.recorder.record(watched, run, RunSettlement.UNKNOWN);
    if (watched.silentMs(now) < MIN_SILENT_MS) {
      watched.isSuspected = false;
      watched.connects.reset();
    }
    const isHeardAgain = end !== undefined && watched.heardAt > end.at;
    if (!isHeardAgain || now - watched.heardAt < SUCCESSOR_DELAY_MS) return;
    if (isEndBySuccessor(end.evidence)) return;
    watched.end = undefined;
    this.retract(id, runner.id, 'heard again');
  }

  private noteSilentRuns({active}: WatchedRunner, now: number): void {
    for (const run of active)
      if (run.isAdmitted && now - run.lastSignAt >= MIN_SILENT_MS)
        run.noteRunnerSilent();
  }

  private applyRefusal(watched: WatchedRunner): void {
    const {connects} = watched;
    connects.recordRefused();
    if (connects.refusedCount < REFUSALS_TO_END_RUNS)
      connects.scheduleAt(this.options.clock.now() + MIN_SILENT_MS);
    this.settleEnd(watched, RunnerEndEvidence.REFUSED);
    this.endWaitingRuns(watched);
  }

  /** Counts the end of a runner against the runs of which it is not known that it outlived them. */
  private settleEnd(watched: WatchedRunner, evidence: RunnerEndEvidence): void {
    const {runner, active} = watched;
    if (watched.isLeaving) {
      for (const run of watched.takeAll())
        this.recorder.record(watched, run, RunSettlement.LEFT);
      return;
    }
    const now = this.options.clock.now();
    const isFirst = watched.end === undefined;
    const isSuccessorKnown = isEndBySuccessor(evidence);
    if (isFirst || isSuccessorKnown) watched.end = {evidence, at: now};
    this.gone.remember(getIncarnationId(runner.entry), true);
    // What was heard of it lately may have been its successor.
    const runs = isSuccessorKnown ? watched.takeAll() : watched.takeUnheard();
    for (const run of runs) this.settleAsEnded(watched, run);
    if (!isFirst) return;
    // Requests on idle connections to a runner that has ended would be lost.
    runner.pool.closeIdle();
    for (const run of active) {
      if (!run.isAdmitted || now - run.lastSignAt < MIN_SILENT_MS) continue;
      this.recorder.record(watched, run, RunSettlement.ENDED);
      run.onRunnerEnded(watched.describeEnd(run.lastSignAt));
    }
  }

  private settleAsEnded(watched: WatchedRunner, run: UnsettledRun): void {
    this.recorder.record(watched, run, RunSettlement.ENDED);
    run.onRunnerEnded(watched.describeEnd(run.lastSignAt), run.parts);
  }

  /** Ends the runs that wait for a runner at which nothing listens. */
  private endWaitingRuns(watched: WatchedRunner): void {
    const {runner, end, connects, active} = watched;
    if (!end || connects.refusedCount < REFUSALS_TO_END_RUNS) return;
    if (watched.heardAt > end.at || !watched.isQuiet) return;
    for (const run of [...active]) {
      if (!run.isAdmitted) continue;
      active.delete(run);
      this.options.whenConfirmed(runner, () => {
        if (watched.heardAt <= end.at) run.end(RunEnd.RUNNER_GONE);
      });
    }
  }

  private retract(id: string, runner: string, reason: string): void {
    const watched = this.watched.get(id);
    if (watched) watched.end = undefined;
    const hadEnded = this.gone.forget(id);
    // Another host may have counted its end.
    this.options.onReturned(hashToUint32(id));
    if (!hadEnded) return;
    this.options.log.write('runner_end_retracted', {runner, reason});
  }
}
