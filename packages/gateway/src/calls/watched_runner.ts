import type {Runner} from '../runners/runner.js';
import type {RunnerEndEvidence} from '../runners/runner_end_evidence.js';
import {ConnectHistory} from './connect_history.js';
import {isEndBySuccessor} from './is_end_by_successor.js';
import type {RunnerEnd} from './runner_end.js';
import type {UnsettledRun} from './unsettled_run.js';
import type {WatchedRun} from './watched_run.js';

interface EndedRun {
  readonly run: UnsettledRun;
  /** When it was noticed that the runner was heard of again; undefined if it was not. */
  heardNotedAt?: number;
}

/** Most runs that are kept for one runner: the first ones, as one of these is the likeliest cause of its end. */
const MAX_RUNS = 32;
/** How long a run is kept, in ms: until the entry of a runner that is gone has gone, and its successor is there. */
const RETENTION_MS = 20_000;

/** One incarnation of a runner that has runs under way, or had some that ended while nothing was heard of it. */
export class WatchedRunner {
  /** The runs under way. */
  readonly active = new Set<WatchedRun>();
  /** Whether a run at the runner was silent for too long, or a connection to it was refused. */
  isSuspected = false;
  /** How the end of the runner is known, and since when; undefined if it is not. */
  end: {readonly evidence: RunnerEndEvidence; readonly at: number} | undefined;
  /** When the entry of the runner went; undefined if it has not. */
  removedAt: number | undefined;
  /** The connects that ask whether it is still there. */
  readonly connects = new ConnectHistory();
  private ended: EndedRun[] = [];
  /** The state that this host kept of the same incarnation before its entry went and came back. */
  private former: Runner | undefined;

  constructor(private current: Runner) {}

  /** The newest state that this host keeps of the runner. */
  get runner(): Runner {
    return this.current;
  }

  /** When bytes last arrived from the runner, on this host's clock; -Infinity if none did. */
  get heardAt(): number {
    return Math.max(this.current.heardAt, this.former?.heardAt ?? -Infinity);
  }

  /** Whether the runner has requests of this host and has sent nothing for much longer than usual. */
  get isQuiet(): boolean {
    return this.current.isQuiet || this.former?.isQuiet === true;
  }

  /** Takes over the state that is kept of the runner since its entry is back; its runs stay. */
  adopt(runner: Runner): void {
    if (runner === this.current || runner === this.former) return;
    this.former = this.current;
    this.current = runner;
    this.removedAt = undefined;
  }

  /** Number of runs that ended while nothing was heard of the runner. */
  get endedCount(): number {
    return this.ended.length;
  }

  /** The last sign of the runner before the earliest of these runs; undefined if there are none. */
  get unheardSince(): number | undefined {
    const signs = this.ended
      .filter(({run}) => run.lastSignAt >= this.heardAt)
      .map(({run}) => run.lastSignAt);
    return signs.length === 0 ? undefined : Math.min(...signs);
  }

  /** Time since the last sign that concerns the runs of the runner, in ms; 0 if it has none. */
  silentMs(now: number): number {
    const signs = [...this.active]
      .filter(({isAdmitted}) => isAdmitted)
      .map(({lastSignAt}) => lastSignAt);
    const {unheardSince} = this;
    if (unheardSince !== undefined) signs.push(unheardSince);
    return signs.length === 0 ? 0 : now - Math.min(...signs);
  }

  /**
   * Whether nothing is left to be watched.
   *
   * @param returnMs time for which a runner that counts as ended is watched for bytes, in ms
   */
  isOver(now: number, returnMs: number): boolean {
    const {active, endedCount, connects, end} = this;
    if (active.size > 0 || endedCount > 0 || connects.isConnecting)
      return false;
    return end === undefined || now - end.at >= returnMs;
  }

  /** Describes the end of the runner for a run whose last sign was at this time; its end must be known. */
  describeEnd(lastSignAt: number): RunnerEnd {
    const {evidence, at} = this.end!;
    const knownAfterMs = Math.max(0, at - lastSignAt);
    // What accepted the connect may have been its successor.
    const wasListening =
      !isEndBySuccessor(evidence) && this.connects.acceptedAt > lastSignAt;
    return {evidence, knownAfterMs, wasListening};
  }

  /** Whether the runner ends as planned, so that its end says nothing of its runs. */
  get isLeaving(): boolean {
    const {entry, availability} = this.runner;
    return entry.isDraining || availability.isLeaving;
  }

  /** Keeps a run that ended. @returns whether there was room for it */
  add(run: UnsettledRun): boolean {
    if (this.ended.length >= MAX_RUNS) return false;
    this.ended.push({run});
    return true;
  }

  /** Removes all runs. */
  takeAll(): UnsettledRun[] {
    return this.ended.splice(0).map(({run}) => run);
  }

  /** Removes and returns the runs since whose last sign nothing was heard of the runner. */
  takeUnheard(): UnsettledRun[] {
    return this.take(({run}) => run.lastSignAt >= this.heardAt);
  }

  /**
   * Removes and returns the runs whose runner was heard of again some time ago.
   *
   * @param afterMs time within which it can turn out that a successor was heard of, in ms
   */
  takeHeard(now: number, afterMs: number): UnsettledRun[] {
    return this.take(item => {
      if (item.run.lastSignAt >= this.heardAt) return false;
      item.heardNotedAt ??= now;
      return now - item.heardNotedAt >= afterMs;
    });
  }

  /** Removes and returns the runs of which nothing was learned in time. */
  takeExpired(now: number): UnsettledRun[] {
    return this.take(({run}) => now - run.lastSignAt >= RETENTION_MS);
  }

  /** Drops the runs of a request that was answered, and the parts of prompts that were. */
  dropAnswered(fingerprint: string, parts: readonly string[]): void {
    this.ended = this.ended
      .filter(({run}) => run.fingerprint !== fingerprint)
      .map(({run, heardNotedAt}) => ({
        run: {...run, parts: run.parts.filter(part => !parts.includes(part))},
        heardNotedAt,
      }));
  }

  private take(isTaken: (item: EndedRun) => boolean): UnsettledRun[] {
    const taken = new Set(this.ended.filter(isTaken));
    if (taken.size === 0) return [];
    this.ended = this.ended.filter(item => !taken.has(item));
    return [...taken].map(({run}) => run);
  }
}
