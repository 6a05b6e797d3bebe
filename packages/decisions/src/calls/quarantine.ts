import type {Clock} from '@bayspool/kernel';
import {reweighRecurrentCrashes} from './reweigh_recurrent_crashes.js';
import {ReleaseReason} from './release_reason.js';
import type {QuarantineDigest} from './quarantine_digest.js';
import type {RunnerCrash} from './runner_crash.js';
import {SuspectRequest} from './suspect_request.js';

/** Told which requests are held back. */
interface Listener {
  /** A request is held back from now on. */
  readonly onQuarantined: (
    fingerprint: string,
    ends: readonly RunnerCrash[],
  ) => void;
  /** A request is held back no longer. */
  readonly onReleased: (fingerprint: string, reason: ReleaseReason) => void;
}

interface Options {
  readonly clock: Clock;
}

/**
 * Weight of ends from which a request is held back: three runs that were begun and gave nothing. On three days with
 * usual faults the most that spoke against a request by chance was 1.3, of 35 ends that counted; on one on which most
 * runners spoil or reset their answers and live on, 1 of 89.
 */
const QUARANTINE_WEIGHT = 3;
/** Weight of an end from which it leaves no doubt. */
const CERTAIN_WEIGHT = 1;
/** Weights are sums of tenths. */
const WEIGHT_EPSILON = 1e-9;
/** Time in which hosts of a place tell each other of all requests that a runner had when it ended, in ms. */
const PROPAGATION_MS = 1_000;
/**
 * How long a request is held back, in ms: long enough that its callers give up, short enough that one which was mended,
 * or never was the cause, is tried again by itself.
 */
const QUARANTINE_MS = 600_000;
/**
 * How long an end is remembered, in ms: over the time for which other hosts, which may have heard of it later, hold a
 * request back and tell of it; else that would begin anew.
 */
const CRASH_RETENTION_MS = 2 * QUARANTINE_MS;
/** How long an end or a good answer is told to other hosts, in ms: some passes between hosts and places. */
const GOSSIP_MS = 10_000;
/** Requests told at once, the last changed first, and those that are held back before them. */
const MAX_DIGEST_REQUESTS = 64;
/** Requests that are remembered; the least lately changed give way. 650 bytes each with one end (mean of 20,000). */
const MAX_SUSPECTS = 1_000;
/** Requests that are held back at once: more are a fault of the runners, and then the oldest is let go. */
const MAX_QUARANTINED = 200;

/**
 * Finds the requests under which runners end, wherever they come from, and says which are held back. Ends are sets, so
 * it does not matter how often and in which order hosts tell them. A good answer clears a request: one that ends every
 * runner never has any. An end is put down to one request only: where one that is held back was, it speaks against no other.
 */
export class Quarantine {
  private readonly suspects = new Map<string, SuspectRequest>();
  private readonly answered = new Map<string, number>();
  private readonly listeners: Listener[] = [];

  constructor(private readonly options: Options) {}

  /** Tells the listener of each request that is held back or let go from now on. */
  onChange(listener: Listener): void {
    this.listeners.push(listener);
  }

  /** How long a request is still held back, in ms; 0 if it is not. */
  remainingMs(fingerprint: string): number {
    const heldAt = this.suspects.get(fingerprint)?.quarantinedAt;
    if (heldAt === undefined) return 0;
    return Math.max(0, heldAt + QUARANTINE_MS - this.options.clock.now());
  }

  /** The requests that are held back. */
  quarantinedFingerprints(): readonly string[] {
    return this.quarantinedSuspects().map(({fingerprint}) => fingerprint);
  }

  /** How much speaks against a request so far; 0 for one under which no runner ended. */
  weightOf(fingerprint: string): number {
    return this.suspects.get(fingerprint)?.weight ?? 0;
  }

  /** Takes in that a runner ended while it had a request. */
  recordCrashes(fingerprint: string, ends: readonly RunnerCrash[]): void {
    this.addCrashes(fingerprint, ends);
    this.quarantineCertain([fingerprint]);
    this.quarantineRecurrent([fingerprint]);
  }

  /**
   * Takes in that hosts hold a request back, as the store tells. It is not judged anew: which ends another request
   * explains depends on which of them is read first.
   */
  restoreRecord(fingerprint: string, ends: readonly RunnerCrash[]): void {
    this.addCrashes(fingerprint, ends);
    const suspect = this.suspects.get(fingerprint);
    if (!suspect || suspect.quarantinedAt !== undefined) return;
    if (reachesThreshold(suspect.weight)) this.startQuarantine(suspect);
  }

  /** Takes in that a request was answered well. */
  recordAnswer(fingerprint: string): void {
    const suspect = this.suspects.get(fingerprint);
    if (!suspect || suspect.crashes.length === 0) return;
    this.answered.set(fingerprint, this.options.clock.now());
    this.release(fingerprint, ReleaseReason.ANSWERED);
  }

  /** What other hosts are to be told. */
  createDigest(): QuarantineDigest {
    const now = this.options.clock.now();
    for (const [fingerprint, at] of this.answered)
      if (now - at > GOSSIP_MS) this.answered.delete(fingerprint);
    const recent = this.releasedSuspects().filter(
      ({changedAt}) => now - changedAt <= GOSSIP_MS,
    );
    const told = [...this.quarantinedSuspects(), ...recent.reverse()];
    const ends = told
      .slice(0, MAX_DIGEST_REQUESTS)
      .map(suspect => [suspect.fingerprint, toRunnerCrashes(suspect)] as const);
    return {
      ends: Object.fromEntries(ends),
      answered: [...this.answered.keys()],
    };
  }

  /** Takes in what other hosts told. */
  mergeDigest({ends, answered}: QuarantineDigest): void {
    for (const fingerprint of answered) {
      const isNews = this.suspects.get(fingerprint)?.crashes.length;
      if (isNews) this.release(fingerprint, ReleaseReason.ANSWERED);
    }
    for (const [fingerprint, list] of Object.entries(ends))
      this.addCrashes(fingerprint, list);
    this.quarantineCertain(Object.keys(ends));
    this.quarantineRecurrent(Object.keys(ends));
  }

  /** Lets a request go; what is known of it so far counts no longer. */
  release(fingerprint: string, reason: ReleaseReason): void {
    const suspect = this.suspects.get(fingerprint);
    if (!suspect) return;
    const wasHeld = suspect.quarantinedAt !== undefined;
    suspect.discountCrashes();
    if (!wasHeld) return;
    for (const {onReleased} of this.listeners) onReleased(fingerprint, reason);
  }

  /** Does what falls due with time; to be called once a second or so. */
  review(): void {
    this.expire();
    this.quarantineRecurrent([...this.suspects.keys()]);
    this.quarantineUncertain();
  }

  /** Lets go what was held back for long enough, and forgets what is too old to count. */
  private expire(): void {
    const now = this.options.clock.now();
    for (const suspect of [...this.suspects.values()]) {
      const {quarantinedAt: heldAt, fingerprint} = suspect;
      if (heldAt !== undefined && now - heldAt >= QUARANTINE_MS)
        this.release(fingerprint, ReleaseReason.EXPIRED);
      const isOld = !suspect.forgetBefore(now - CRASH_RETENTION_MS);
      if (isOld) this.suspects.delete(fingerprint);
    }
  }

  private releasedSuspects(): SuspectRequest[] {
    return [...this.suspects.values()].filter(
      ({quarantinedAt: heldAt}) => heldAt === undefined,
    );
  }

  private quarantinedSuspects(): SuspectRequest[] {
    return [...this.suspects.values()].filter(
      ({quarantinedAt: heldAt}) => heldAt !== undefined,
    );
  }

  private addCrashes(fingerprint: string, ends: readonly RunnerCrash[]): void {
    const counted = ends.filter(({weight}) => weight > 0);
    if (counted.length === 0) return;
    const suspect = this.touchSuspect(fingerprint);
    const now = this.options.clock.now();
    for (const end of counted) suspect.addCrash(end, now);
  }

  /** Ends of runs that were begun and gave nothing leave no doubt: nobody waits for further news of them. */
  private quarantineCertain(fingerprints: readonly string[]): void {
    this.quarantineHeaviestFirst(
      this.findSuspects(fingerprints),
      CERTAIN_WEIGHT,
    );
  }

  /** Requests that were at ends again after a pause are judged as the only cause of those that nothing else explains. */
  private quarantineRecurrent(fingerprints: readonly string[]): void {
    const suspects = this.findSuspects(fingerprints)
      .filter(
        ({quarantinedAt: heldAt, crashes: ends}) =>
          heldAt === undefined && reachesThreshold(ends.length),
      )
      .sort((a, b) => b.crashes.length - a.crashes.length);
    const now = this.options.clock.now();
    for (const suspect of suspects) {
      const ends = reweighRecurrentCrashes({
        suspect,
        candidates: this.releasedSuspects(),
        explained: this.explainedCrashes(),
        settledUntil: now - PROPAGATION_MS,
      });
      const weight = ends.reduce((sum, end) => sum + end.weight, 0);
      if (!reachesThreshold(weight)) continue;
      // Other hosts, and the store, are told the weights by which it is held back.
      for (const end of ends) suspect.addCrash(end, now);
      this.startQuarantine(suspect);
    }
  }

  private findSuspects(fingerprints: readonly string[]): SuspectRequest[] {
    return fingerprints.flatMap(
      fingerprint => this.suspects.get(fingerprint) ?? [],
    );
  }

  /**
   * Ends of runs of which nobody knows whether they were begun. Requests that waited at the same runner break off in any
   * order and at several hosts, so these are judged once all have told; of two that were at the same ends neither is held
   * back until one of them was at a further one.
   */
  private quarantineUncertain(): void {
    const now = this.options.clock.now();
    const settled = this.releasedSuspects()
      .filter(({weight}) => reachesThreshold(weight))
      .filter(({changedAt}) => now - changedAt >= PROPAGATION_MS)
      .filter(suspect => !this.isIndistinguishable(suspect));
    this.quarantineHeaviestFirst(settled, 0);
  }

  private isIndistinguishable(suspect: SuspectRequest): boolean {
    return this.releasedSuspects().some(
      other => other !== suspect && other.coversCrashesOf(suspect),
    );
  }

  /** Ends that the heaviest one explains speak against no other. */
  private quarantineHeaviestFirst(
    suspects: readonly SuspectRequest[],
    minWeight: number,
  ): void {
    const heaviestFirst = suspects
      .filter(
        ({quarantinedAt: heldAt, weight}) =>
          heldAt === undefined && reachesThreshold(weight),
      )
      .sort((a, b) => b.weight - a.weight);
    for (const suspect of heaviestFirst) {
      const explained = this.explainedCrashes();
      if (reachesThreshold(suspect.weightExcluding(explained, minWeight)))
        this.startQuarantine(suspect);
    }
  }

  private startQuarantine(suspect: SuspectRequest): void {
    suspect.quarantinedAt = this.options.clock.now();
    const held = this.quarantinedSuspects();
    if (held.length > MAX_QUARANTINED) {
      const oldest = held.reduce((a, b) =>
        (b.quarantinedAt ?? 0) < (a.quarantinedAt ?? 0) ? b : a,
      );
      this.release(oldest.fingerprint, ReleaseReason.OVER_CAPACITY);
    }
    for (const {onQuarantined: onHeld} of this.listeners)
      onHeld(suspect.fingerprint, toRunnerCrashes(suspect));
  }

  private explainedCrashes(): Set<number> {
    const starts = this.quarantinedSuspects().flatMap(
      ({crashes: ends}) => ends,
    );
    return new Set(starts.map(({start}) => start));
  }

  /** The least lately changed stand first. */
  private touchSuspect(fingerprint: string): SuspectRequest {
    const suspect =
      this.suspects.get(fingerprint) ?? new SuspectRequest(fingerprint);
    this.suspects.delete(fingerprint);
    this.suspects.set(fingerprint, suspect);
    if (this.suspects.size > MAX_SUSPECTS) this.evictOldestSuspect();
    return suspect;
  }

  private evictOldestSuspect(): void {
    for (const [fingerprint, {quarantinedAt: heldAt}] of this.suspects) {
      if (heldAt !== undefined) continue;
      this.suspects.delete(fingerprint);
      return;
    }
  }
}

function toRunnerCrashes({crashes: ends}: SuspectRequest): RunnerCrash[] {
  return ends.map(({start, weight}) => ({start, weight}));
}

function reachesThreshold(weight: number): boolean {
  return weight >= QUARANTINE_WEIGHT - WEIGHT_EPSILON;
}
