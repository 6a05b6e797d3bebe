import type {Clock} from '@bayspool/kernel';
import {EPISODE_GAP_MS} from './episode_gap_ms.js';
import {CrashSource} from './crash_source.js';
import {findProbation} from './find_probation.js';
import type {Probation} from './probation.js';
import {reweighRecurrentCrashes} from './reweigh_recurrent_crashes.js';
import {ReleaseReason} from './release_reason.js';
import type {QuarantineDigest} from './quarantine_digest.js';
import type {RunnerCrash} from './runner_crash.js';
import {SuspectRequest} from './suspect_request.js';
import type {TrialWait} from './trial_wait.js';

/** Notified when a request is quarantined, released, on probation or tried. */
interface Listener {
  readonly onQuarantined: (
    fingerprint: string,
    crashes: readonly RunnerCrash[],
  ) => void;
  readonly onReleased: (fingerprint: string, reason: ReleaseReason) => void;
  readonly onProbation?: (fingerprint: string, crashes: number) => void;
  /** A copy of a request on probation is sent to a runner. */
  readonly onTrial?: (fingerprint: string, crashes: number) => void;
}

interface Options {
  readonly clock: Clock;
  /** Whether this host could not confirm crashes of its own now; it counts what others could not confirm only then. False if absent. */
  readonly isDoubtful?: () => boolean;
  /** Position of this host in the order in which hosts may try a request on probation, from 0; 0 if absent. */
  readonly rankOf?: (fingerprint: string) => number;
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
/** Time for which a crash counts that is not confirmed, in ms. */
const UNCONFIRMED_MS = 10_000;
/** Maximum number of retracted crashes that are remembered; the oldest are forgotten first. */
const MAX_RETRACTED = 1_000;

/**
 * Detects requests that crash the runners they are sent to, whichever caller sends them, and
 * quarantines them. Crashes are kept as sets, so the order and number of times in which hosts
 * report them do not matter. A successful response clears a request, since a request that crashes
 * every runner never gets one. Each crash is attributed to one request only: if a quarantined
 * request was present, the crash does not count against any other.
 *
 * Several such requests hide behind each other. So a request that was present at crashes again and
 * again is on probation, whatever else explains these: it is held back for seconds, then tried
 * again by one host at a time.
 */
export class Quarantine {
  private readonly suspects = new Map<string, SuspectRequest>();
  private readonly answered = new Map<string, number>();
  private readonly listeners: Listener[] = [];
  /** When the crash of a runner start was retracted, the oldest first: reports of it are under way for a while. */
  private readonly retracted = new Map<number, number>();

  constructor(private readonly options: Options) {}

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

  /**
   * Asks to send a copy of a request to a runner, as far as it is on probation: then one host may try it first, and
   * twice as many with each further turn.
   *
   * @returns the time until this host may; undefined if the request is not on probation
   */
  askForTrial(fingerprint: string): TrialWait | undefined {
    const suspect = this.suspects.get(fingerprint);
    const probation = this.findProbation(fingerprint);
    if (!suspect || !probation) return undefined;
    const {holdEnd, turnMs, isBrief} = probation;
    const now = this.options.clock.now();
    const rank = this.options.rankOf?.(fingerprint) ?? 0;
    const turn = Math.ceil(Math.log2(rank + 1));
    // While no runner is heard of, no host can take its turn.
    const isTurnOpen = !this.options.isDoubtful?.();
    const askedSince = isTurnOpen ? suspect.noteAsked(now, holdEnd) : now;
    const openAt = Math.max(holdEnd, askedSince) + turn * turnMs;
    return {ms: Math.max(0, openAt - now), isBrief: isBrief && isTurnOpen};
  }

  /** Whether a request is on probation, so that a copy which is sent is a trial. */
  isOnProbation(fingerprint: string): boolean {
    return this.findProbation(fingerprint) !== undefined;
  }

  /** Notes that a copy of a request is sent to a runner. */
  noteSent(fingerprint: string): void {
    const suspect = this.suspects.get(fingerprint);
    if (!suspect || !this.isOnProbation(fingerprint)) return;
    suspect.trialAt = this.options.clock.now();
    for (const {onTrial} of this.listeners)
      onTrial?.(fingerprint, suspect.presence.times.length);
  }

  /** Number of requests on probation. */
  get probationCount(): number {
    return [...this.suspects.keys()].filter(key => this.isOnProbation(key))
      .length;
  }

  /** Fingerprints of the quarantined requests. */
  quarantinedFingerprints(): readonly string[] {
    return this.quarantinedSuspects().map(({fingerprint}) => fingerprint);
  }

  /** Total crash weight against a request; 0 if no runner crashed while it had the request. */
  weightOf(fingerprint: string): number {
    return this.suspects.get(fingerprint)?.weight ?? 0;
  }

  /**
   * Notes a runner that seems to have crashed while it had a request. Until it is confirmed by {@link recordCrashes}, it
   * counts at this host, and at others that cannot confirm crashes either.
   */
  notePresence(fingerprint: string, start: number): void {
    if (this.isRetracted(start)) return;
    this.noteCrash(fingerprint, {start}, CrashSource.OWN);
  }

  /**
   * Records runners that crashed while they had a request. A crash that is confirmed late counts as presence only: until
   * then no runner was left that could have answered the request, if it is innocent.
   */
  recordCrashes(fingerprint: string, crashes: readonly RunnerCrash[]): void {
    const presence = this.suspects.get(fingerprint)?.presence;
    const lateBefore = this.options.clock.now() - EPISODE_GAP_MS;
    const isLate = ({start}: RunnerCrash) =>
      (presence?.timeOf(start) ?? Infinity) <= lateBefore;
    this.addCrashes(
      fingerprint,
      crashes.map(crash => (isLate(crash) ? {...crash, weight: 0} : crash)),
    );
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
    const suspect = this.suspects.get(fingerprint);
    if (!suspect || !suspect.hasCrashes) return;
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
      .map(suspect => [suspect.fingerprint, toReports(suspect, now)] as const);
    const unconfirmed = this.collectUnconfirmed();
    return {
      ends: Object.fromEntries(ends),
      ...(unconfirmed.length > 0 && {
        unconfirmed: Object.fromEntries(unconfirmed),
      }),
      answered: [...this.answered.keys()],
    };
  }

  private collectUnconfirmed(): ReadonlyArray<
    [string, readonly RunnerCrash[]]
  > {
    const now = this.options.clock.now();
    const told: Array<[string, readonly RunnerCrash[]]> = [];
    for (const {fingerprint, presence} of this.unquarantinedSuspects()) {
      const crashes = presence.reportUnconfirmed(now);
      if (crashes.length > 0) told.push([fingerprint, crashes]);
    }
    return told.slice(-MAX_DIGEST_REQUESTS);
  }

  private mergeUnconfirmed(
    unconfirmed: Readonly<Record<string, readonly RunnerCrash[]>>,
  ): void {
    for (const [fingerprint, crashes] of Object.entries(unconfirmed))
      for (const crash of crashes)
        if (!this.isRetracted(crash.start))
          this.noteCrash(fingerprint, crash, CrashSource.TOLD);
  }

  /** Merges a digest from other hosts. */
  mergeDigest({ends, unconfirmed, answered}: QuarantineDigest): void {
    for (const fingerprint of answered) {
      if (this.suspects.get(fingerprint)?.hasCrashes)
        this.release(fingerprint, ReleaseReason.ANSWERED);
    }
    for (const [fingerprint, crashes] of Object.entries(ends))
      this.addCrashes(fingerprint, crashes);
    if (unconfirmed && this.options.isDoubtful?.())
      this.mergeUnconfirmed(unconfirmed);
    this.quarantineCertain(Object.keys(ends));
    this.quarantineRecurrent(Object.keys(ends));
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
    for (const suspect of this.suspects.values()) {
      if (!suspect.wasPresentAt(start) && !suspect.presence.has(start))
        continue;
      suspect.discountCrash(start);
      if (suspect.quarantinedAt === undefined) continue;
      if (reachesThreshold(suspect.weight)) continue;
      suspect.quarantinedAt = undefined;
      for (const {onReleased} of this.listeners)
        onReleased(suspect.fingerprint, ReleaseReason.RETRACTED);
    }
  }

  /** Applies the rules that depend on time; to be called about once a second. */
  review(): void {
    this.expire();
    this.quarantineRecurrent([...this.suspects.keys()]);
    this.quarantineUncertain();
  }

  /** Releases requests whose quarantine is over and forgets crashes past their retention. */
  private expire(): void {
    const now = this.options.clock.now();
    for (const suspect of [...this.suspects.values()]) {
      const {quarantinedAt, fingerprint} = suspect;
      if (quarantinedAt !== undefined && now - quarantinedAt >= QUARANTINE_MS)
        this.release(fingerprint, ReleaseReason.EXPIRED);
      const isEmpty = !suspect.forgetBefore(
        now - CRASH_RETENTION_MS,
        now - UNCONFIRMED_MS,
      );
      if (isEmpty) this.suspects.delete(fingerprint);
    }
  }

  private findProbation(fingerprint: string): Probation | undefined {
    const suspect = this.suspects.get(fingerprint);
    if (!suspect || suspect.quarantinedAt !== undefined) return undefined;
    return findProbation({suspect, now: this.options.clock.now()});
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
    const valid = crashes.filter(
      ({start, weight}) => weight >= 0 && !this.isRetracted(start),
    );
    if (valid.length === 0) return;
    const suspect = this.touchSuspect(fingerprint);
    const now = this.options.clock.now();
    for (const crash of valid)
      if (crash.weight > 0) suspect.addCrash(crash, now);
      else suspect.notePresence(crash, now, CrashSource.CONFIRMED);
    this.updateProbation(suspect);
  }

  private noteCrash(
    fingerprint: string,
    crash: Omit<RunnerCrash, 'weight'>,
    source: CrashSource,
  ): void {
    const suspect = this.touchSuspect(fingerprint);
    suspect.notePresence(crash, this.options.clock.now(), source);
    this.updateProbation(suspect);
  }

  private updateProbation(suspect: SuspectRequest): void {
    const {fingerprint, wasOnProbation, presence} = suspect;
    suspect.wasOnProbation = this.isOnProbation(fingerprint);
    if (wasOnProbation || !suspect.wasOnProbation) return;
    for (const {onProbation} of this.listeners)
      onProbation?.(fingerprint, presence.times.length);
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
  return crashes.map(({start, weight}) => ({start, weight}));
}

/** What other hosts are told: the crashes that count against a request, and with weight 0 those at which it was present. */
function toReports(suspect: SuspectRequest, now: number): RunnerCrash[] {
  const weights = new Map(
    suspect.crashes.map(({start, weight}) => [start, weight]),
  );
  const reports = suspect.presence
    .reportConfirmed(now)
    .map(crash => ({...crash, weight: weights.get(crash.start) ?? 0}));
  const reported = new Set(reports.map(({start}) => start));
  const others = toRunnerCrashes(suspect).filter(
    ({start}) => !reported.has(start),
  );
  return [...reports, ...others];
}

function reachesThreshold(weight: number): boolean {
  return weight >= QUARANTINE_WEIGHT - WEIGHT_EPSILON;
}
