import type {Clock} from '@bayspool/kernel';
import {reweighRecurrentCrashes} from './reweigh_recurrent_crashes.js';
import {ReleaseReason} from './release_reason.js';
import type {PresentRequests} from './present_requests.js';
import type {QuarantineDigest} from './quarantine_digest.js';
import type {RunnerCrash} from './runner_crash.js';
import {RunnerOccupants} from './runner_occupants.js';
import {SuspectRequest} from './suspect_request.js';
import type {UnstartedEnd} from './unstarted_end.js';

/** Notified when a request is quarantined or released. */
interface Listener {
  readonly onQuarantined: (
    fingerprint: string,
    crashes: readonly RunnerCrash[],
  ) => void;
  readonly onReleased: (fingerprint: string, reason: ReleaseReason) => void;
}

interface Options {
  readonly clock: Clock;
}

/**
 * Total crash weight at which a request is quarantined: three runs that had started and produced no
 * output. On three days with ordinary faults the highest total that a request reached by chance was
 * 1.3, out of 35 crashes with a weight; on a day on which most runners corrupt or reset their
 * responses without crashing it was 1, out of 89.
 */
const QUARANTINE_WEIGHT = 3;
/** Minimum weight of a crash that leaves no doubt about its cause. */
const CERTAIN_WEIGHT = 1;
/** Tolerance for comparing weights, which are sums of tenths. */
const WEIGHT_EPSILON = 1e-9;
/**
 * Time within which the hosts of a place have exchanged all requests that were in flight at a
 * crashed runner, in ms.
 */
const PROPAGATION_MS = 1_000;
/**
 * How long a request is quarantined, in ms: long enough for its callers to give up, short enough
 * that a request that was fixed, or was never the cause, is retried without intervention.
 */
const QUARANTINE_MS = 600_000;
/**
 * How long a crash is remembered, in ms. Longer than other hosts, which may have learned of it
 * later, keep the request quarantined and gossip about it; otherwise their gossip would start a new
 * quarantine.
 */
const CRASH_RETENTION_MS = 2 * QUARANTINE_MS;
/**
 * How long a crash or a successful response is gossiped, in ms: a few rounds between hosts and
 * places.
 */
const GOSSIP_MS = 10_000;
/**
 * Maximum number of requests in a digest: quarantined ones first, then the most recently changed.
 */
const MAX_DIGEST_REQUESTS = 64;
/**
 * Maximum number of suspects; the least recently changed are evicted. Each takes 650 bytes with one
 * crash (mean of 20,000).
 */
const MAX_SUSPECTS = 1_000;
/**
 * Maximum number of quarantined requests. More than that points to faulty runners, so the oldest is
 * released.
 */
const MAX_QUARANTINED = 200;
/** Weight of the end of a runner that had a stream without a head, and no other request that was not answered since. */
const ONLY_REQUEST_WEIGHT = 1;
/** Time over which such ends have to be known, in ms: runners that end together hit whatever ran there. */
const MIN_UNSTARTED_SPAN_MS = 1_000;
/** How long such an end waits for the answers of the other requests, in ms. */
const UNSTARTED_RETENTION_MS = 60_000;
/** Maximum number of such ends that wait. */
const MAX_UNSTARTED = 512;
/** Maximum number of retracted crashes that are remembered; the oldest are forgotten first. */
const MAX_RETRACTED = 1_000;

/**
 * Detects requests that crash the runners they are sent to, whichever caller sends them, and
 * quarantines them. Crashes are kept as sets, so the order and number of times in which hosts
 * report them do not matter. A successful response clears a request, since a request that crashes
 * every runner never gets one. Each crash is attributed to one request only: if a quarantined
 * request was present, the crash does not count against any other.
 */
export class Quarantine {
  private readonly suspects = new Map<string, SuspectRequest>();
  private readonly answered = new Map<string, number>();
  private readonly listeners: Listener[] = [];
  /** When the crash of a runner start was retracted, the oldest first: reports of it are under way for a while. */
  private readonly retracted = new Map<number, number>();
  private readonly occupants: RunnerOccupants;
  /** Ends of runners with streams without a head of which it is not known yet whether another request was there. */
  private unstarted: UnstartedEnd[] = [];

  constructor(private readonly options: Options) {
    this.occupants = new RunnerOccupants(options);
  }

  /** Registers a listener for requests that are quarantined or released from now on. */
  onChange(listener: Listener): void {
    this.listeners.push(listener);
  }

  /** Remaining quarantine of a request, in ms; 0 if it is not quarantined. */
  remainingMs(fingerprint: string): number {
    const quarantinedAt = this.suspects.get(fingerprint)?.quarantinedAt;
    if (quarantinedAt === undefined) return 0;
    return Math.max(
      0,
      quarantinedAt + QUARANTINE_MS - this.options.clock.now(),
    );
  }

  /** Fingerprints of the quarantined requests. */
  quarantinedFingerprints(): readonly string[] {
    return this.quarantinedSuspects().map(({fingerprint}) => fingerprint);
  }

  /** Total crash weight against a request; 0 if no runner crashed while it had the request. */
  weightOf(fingerprint: string): number {
    return this.suspects.get(fingerprint)?.weight ?? 0;
  }

  /** Whether a runner ended while it had a request that has not been answered since. */
  isSuspect(fingerprint: string): boolean {
    if (this.weightOf(fingerprint) > 0) return true;
    return this.unstarted.some(end => end.fingerprint === fingerprint);
  }

  /** Records a request that a runner had when its connection broke or it ended, whether or not that speaks against it. */
  recordPresence(fingerprint: string, start: number): void {
    this.addOccupants(start, {unanswered: [fingerprint], answered: []});
  }

  /** Records that a runner ended while it had a stream without a head: it counts if no other request was there. */
  recordUnstartedEnd(fingerprint: string, start: number): void {
    this.recordPresence(fingerprint, start);
    const isKnown = this.unstarted.some(
      end => end.start === start && end.fingerprint === fingerprint,
    );
    if (isKnown || this.unstarted.length >= MAX_UNSTARTED) return;
    const notedAt = this.options.clock.now();
    this.unstarted.push({fingerprint, start, notedAt});
  }

  /** Records runners that crashed while they had a request. */
  recordCrashes(fingerprint: string, crashes: readonly RunnerCrash[]): void {
    this.addCrashes(fingerprint, crashes);
    this.quarantineCertain([fingerprint]);
    this.quarantineRecurrent([fingerprint]);
  }

  /**
   * Applies a quarantine record from the store. The request is not evaluated again, because which
   * crashes another request explains depends on which record is read first.
   */
  restoreRecord(fingerprint: string, crashes: readonly RunnerCrash[]): void {
    this.addCrashes(fingerprint, crashes);
    const suspect = this.suspects.get(fingerprint);
    if (!suspect || suspect.quarantinedAt !== undefined) return;
    if (reachesThreshold(suspect.weight)) this.startQuarantine(suspect);
  }

  /** Records that a request was answered successfully. */
  recordAnswer(fingerprint: string): void {
    this.occupants.recordAnswer(fingerprint);
    const suspect = this.suspects.get(fingerprint);
    if (!suspect || suspect.crashes.length === 0) return;
    this.answered.set(fingerprint, this.options.clock.now());
    this.release(fingerprint, ReleaseReason.ANSWERED);
  }

  /** Creates the digest for the other hosts. */
  createDigest(): QuarantineDigest {
    const now = this.options.clock.now();
    for (const [fingerprint, at] of this.answered)
      if (now - at > GOSSIP_MS) this.answered.delete(fingerprint);
    const recent = this.unquarantinedSuspects().filter(
      ({changedAt}) => now - changedAt <= GOSSIP_MS,
    );
    const suspects = [...this.quarantinedSuspects(), ...recent.reverse()];
    const ends = suspects
      .slice(0, MAX_DIGEST_REQUESTS)
      .map(suspect => [suspect.fingerprint, toRunnerCrashes(suspect)] as const);
    return {
      ends: Object.fromEntries(ends),
      answered: [...this.answered.keys()],
      present: this.occupants.createDigest(),
    };
  }

  /** Merges a digest from other hosts. */
  mergeDigest({ends, answered, present = {}}: QuarantineDigest): void {
    for (const [start, requests] of Object.entries(present))
      this.addOccupants(Number(start), requests);
    for (const fingerprint of answered) {
      const hasCrashes = this.suspects.get(fingerprint)?.crashes.length;
      if (hasCrashes) this.release(fingerprint, ReleaseReason.ANSWERED);
    }
    for (const [fingerprint, crashes] of Object.entries(ends))
      this.addCrashes(fingerprint, crashes);
    this.quarantineCertain(Object.keys(ends));
    this.quarantineRecurrent(Object.keys(ends));
    this.countUnstarted();
  }

  /** Releases a request and discounts the crashes recorded for it so far. */
  release(fingerprint: string, reason: ReleaseReason): void {
    const suspect = this.suspects.get(fingerprint);
    if (!suspect) return;
    const wasQuarantined = suspect.quarantinedAt !== undefined;
    suspect.discountCrashes();
    if (!wasQuarantined) return;
    for (const {onReleased} of this.listeners) onReleased(fingerprint, reason);
  }

  /** Takes back the crash of a runner start, which is there again, and releases requests that the other crashes don't suffice for. */
  retractCrash(start: number): void {
    this.retracted.set(start, this.options.clock.now());
    if (this.retracted.size > MAX_RETRACTED)
      this.retracted.delete([...this.retracted.keys()][0]);
    this.unstarted = this.unstarted.filter(end => end.start !== start);
    for (const suspect of this.suspects.values())
      if (suspect.wasPresentAt(start))
        this.discountCrash(suspect, start, ReleaseReason.RETRACTED);
  }

  /** Applies the rules that depend on time; to be called about once a second. */
  review(): void {
    this.expire();
    this.countUnstarted();
    this.quarantineRecurrent([...this.suspects.keys()]);
    this.quarantineUncertain();
  }

  /** Takes back one crash of a request, and releases it if the others don't suffice. */
  private discountCrash(
    suspect: SuspectRequest,
    start: number,
    reason: ReleaseReason,
  ): void {
    suspect.discountCrash(start);
    if (suspect.quarantinedAt === undefined) return;
    if (reachesThreshold(suspect.weight)) return;
    suspect.quarantinedAt = undefined;
    for (const {onReleased} of this.listeners)
      onReleased(suspect.fingerprint, reason);
  }

  /** Adds requests that a runner had, and takes back what counted because they were not known. */
  private addOccupants(start: number, requests: PresentRequests): void {
    if (!this.occupants.add(start, requests)) return;
    for (const suspect of this.suspects.values()) {
      if (!suspect.hasUnstartedCrash(start)) continue;
      if (this.occupants.isOnlyUnanswered(start, suspect.fingerprint)) continue;
      this.discountCrash(suspect, start, ReleaseReason.SHARED);
    }
  }

  /** Counts ends of streams without a head once all hosts have told who was there, and all others were answered. */
  private countUnstarted(): void {
    if (this.unstarted.length === 0) return;
    const now = this.options.clock.now();
    const due = this.unstarted.filter(
      ({start, fingerprint, notedAt}) =>
        now - notedAt >= PROPAGATION_MS &&
        this.occupants.isOnlyUnanswered(start, fingerprint),
    );
    this.unstarted = this.unstarted.filter(
      end =>
        !due.includes(end) &&
        !this.occupants.isAnswered(end.start, end.fingerprint) &&
        now - end.notedAt < UNSTARTED_RETENTION_MS,
    );
    for (const {fingerprint, start} of due)
      this.addCrashes(fingerprint, [
        {start, weight: ONLY_REQUEST_WEIGHT, isUnstarted: true},
      ]);
    this.quarantineCertain(due.map(({fingerprint}) => fingerprint));
  }

  /** Releases requests whose quarantine is over and forgets crashes past their retention. */
  private expire(): void {
    const now = this.options.clock.now();
    this.occupants.expire();
    for (const suspect of [...this.suspects.values()]) {
      const {quarantinedAt, fingerprint} = suspect;
      if (quarantinedAt !== undefined && now - quarantinedAt >= QUARANTINE_MS)
        this.release(fingerprint, ReleaseReason.EXPIRED);
      const isEmpty = !suspect.forgetBefore(now - CRASH_RETENTION_MS);
      if (isEmpty) this.suspects.delete(fingerprint);
    }
  }

  private unquarantinedSuspects(): SuspectRequest[] {
    return [...this.suspects.values()].filter(
      ({quarantinedAt}) => quarantinedAt === undefined,
    );
  }

  private quarantinedSuspects(): SuspectRequest[] {
    return [...this.suspects.values()].filter(
      ({quarantinedAt}) => quarantinedAt !== undefined,
    );
  }

  private isRetracted(start: number): boolean {
    const at = this.retracted.get(start) ?? -Infinity;
    return this.options.clock.now() - at <= GOSSIP_MS;
  }

  private addCrashes(
    fingerprint: string,
    crashes: readonly RunnerCrash[],
  ): void {
    const weighted = crashes.filter(
      ({start, weight}) => weight > 0 && !this.isRetracted(start),
    );
    if (weighted.length === 0) return;
    const suspect = this.touchSuspect(fingerprint);
    const now = this.options.clock.now();
    for (const crash of weighted) suspect.addCrash(crash, now);
  }

  /**
   * Quarantines by crashes of runs that had started and produced no output. They leave no doubt, so
   * reports from other hosts need not be awaited.
   */
  private quarantineCertain(fingerprints: readonly string[]): void {
    this.quarantineHeaviestFirst(
      this.findSuspects(fingerprints),
      CERTAIN_WEIGHT,
    );
  }

  /**
   * Quarantines requests that were present at crashes again after a pause, if they are the only
   * cause of those that no other request explains.
   */
  private quarantineRecurrent(fingerprints: readonly string[]): void {
    const suspects = this.findSuspects(fingerprints)
      .filter(
        ({quarantinedAt, crashes}) =>
          quarantinedAt === undefined && reachesThreshold(crashes.length),
      )
      .sort((a, b) => b.crashes.length - a.crashes.length);
    const now = this.options.clock.now();
    for (const suspect of suspects) {
      const crashes = reweighRecurrentCrashes({
        suspect,
        candidates: this.unquarantinedSuspects(),
        explained: this.explainedCrashes(),
        settledUntil: now - PROPAGATION_MS,
      });
      const weight = crashes.reduce((sum, crash) => sum + crash.weight, 0);
      if (!reachesThreshold(weight)) continue;
      // Digests and the store carry the weights that led to the quarantine.
      for (const crash of crashes) suspect.addCrash(crash, now);
      this.startQuarantine(suspect);
    }
  }

  private findSuspects(fingerprints: readonly string[]): SuspectRequest[] {
    return fingerprints.flatMap(
      fingerprint => this.suspects.get(fingerprint) ?? [],
    );
  }

  /**
   * Quarantines by crashes of runs that may not have started. Requests that waited at the same
   * runner fail in any order and at several hosts, so these crashes are evaluated only after all
   * hosts have reported them. Of two requests that were present at the same crashes neither is
   * quarantined until one of them is present at another crash.
   */
  private quarantineUncertain(): void {
    const now = this.options.clock.now();
    const settled = this.unquarantinedSuspects()
      .filter(({weight}) => reachesThreshold(weight))
      .filter(({changedAt}) => now - changedAt >= PROPAGATION_MS)
      .filter(suspect => !this.isIndistinguishable(suspect));
    this.quarantineHeaviestFirst(settled, 0);
  }

  /** Whether another suspect was present at all crashes of this one. */
  private isIndistinguishable(suspect: SuspectRequest): boolean {
    return this.unquarantinedSuspects().some(
      other => other !== suspect && other.coversCrashesOf(suspect),
    );
  }

  /**
   * Goes from the heaviest suspect to the lightest: crashes that a quarantined request explains do
   * not count against the next.
   */
  private quarantineHeaviestFirst(
    suspects: readonly SuspectRequest[],
    minWeight: number,
  ): void {
    const heaviestFirst = suspects
      .filter(
        ({quarantinedAt, weight}) =>
          quarantinedAt === undefined && reachesThreshold(weight),
      )
      .filter(
        suspect =>
          reachesThreshold(suspect.startedWeight) ||
          suspect.spanMs >= MIN_UNSTARTED_SPAN_MS,
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
    const quarantined = this.quarantinedSuspects();
    if (quarantined.length > MAX_QUARANTINED) {
      const oldest = quarantined.reduce((a, b) =>
        (b.quarantinedAt ?? 0) < (a.quarantinedAt ?? 0) ? b : a,
      );
      this.release(oldest.fingerprint, ReleaseReason.OVER_CAPACITY);
    }
    for (const {onQuarantined} of this.listeners)
      onQuarantined(suspect.fingerprint, toRunnerCrashes(suspect));
  }

  private explainedCrashes(): Set<number> {
    const explained = this.quarantinedSuspects().flatMap(
      ({crashes}) => crashes,
    );
    return new Set(explained.map(({start}) => start));
  }

  /**
   * Finds or adds a suspect and moves it to the end of the map, so that the least recently changed
   * one comes first.
   */
  private touchSuspect(fingerprint: string): SuspectRequest {
    const suspect =
      this.suspects.get(fingerprint) ?? new SuspectRequest(fingerprint);
    this.suspects.delete(fingerprint);
    this.suspects.set(fingerprint, suspect);
    if (this.suspects.size > MAX_SUSPECTS) this.evictOldestSuspect();
    return suspect;
  }

  private evictOldestSuspect(): void {
    for (const [fingerprint, {quarantinedAt}] of this.suspects) {
      if (quarantinedAt !== undefined) continue;
      this.suspects.delete(fingerprint);
      return;
    }
  }
}

function toRunnerCrashes({crashes}: SuspectRequest): RunnerCrash[] {
  return crashes.map(({start, weight, isUnstarted}) => ({
    start,
    weight,
    isUnstarted,
  }));
}

function reachesThreshold(weight: number): boolean {
  return weight >= QUARANTINE_WEIGHT - WEIGHT_EPSILON;
}
