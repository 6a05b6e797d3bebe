import type {Clock} from '@bayspool/kernel';
import {computeTrialTime} from './compute_trial_time.js';
import {reweighRecurrentCrashes} from './reweigh_recurrent_crashes.js';
import {ReleaseReason} from './release_reason.js';
import type {QuarantineDigest} from './quarantine_digest.js';
import type {RunnerCrash} from './runner_crash.js';
import type {SuspicionReport} from './suspicion_report.js';
import {SuspectRequest} from './suspect_request.js';

/** Notified when a request is quarantined or released. */
interface Listener {
  readonly onQuarantined: (
    fingerprint: string,
    crashes: readonly RunnerCrash[],
  ) => void;
  readonly onReleased: (fingerprint: string, reason: ReleaseReason) => void;
  /** A quarantine is lifted, because another request may explain the crashes as well. */
  readonly onDoubted?: (fingerprint: string) => void;
  /** A further runner crashed under a request that is held back between trials. */
  readonly onSuspected?: (report: SuspicionReport) => void;
  /** A request was let through to show whether it crashes a runner. */
  readonly onTrial?: (fingerprint: string, request: string) => void;
  /** A request that was held back between trials was answered. */
  readonly onCleared?: (fingerprint: string, crashes: number) => void;
}

/** Which crashes count against a request. */
interface EvidenceBounds {
  /** Minimum weight of a crash. */
  readonly minWeight: number;
  /** Number of crashes with which another request may be the cause, unless the suspect has fewer. */
  readonly minCrashes: number;
}

interface Options {
  readonly clock: Clock;
  /** Position of this host in the order in which hosts may try a suspect request, from 0; 0 by default. */
  readonly rankOf?: (fingerprint: string) => number;
}

/**
 * Total crash weight at which a request is quarantined: three runs that had started and produced no
 * output. On three days with ordinary faults the highest total that a request reached by chance was
 * 1.3, out of 35 crashes with a weight; on a day on which most runners corrupt or reset their
 * responses without crashing it was 1, out of 89.
 */
const QUARANTINE_WEIGHT = 3;
/** Crashes from which on a request without an answer is sent to runners one copy at a time, whatever explains them. */
const SUSPICION_CRASHES = 3;
/** Failed trials after which a request is quarantined, even if another suspect one was present at each of them. */
const QUARANTINE_TRIALS = 4;
/** Crashes shared with a suspect request from which on one that is not suspect yet may be the cause of its failed trials. */
const MIN_OTHER_CRASHES = 2;
/** Failed trials from which on only suspect requests that failed as many may be the cause instead. */
const REPEATED_TRIALS = 2;
/** Longest time for which the outcome of a trial is awaited, in ms: some crashes are learned of seconds later. */
const TRIAL_MS = 5_000;
/** Time for which a trial that another host reported is assumed to go on, in ms: a few rounds of digests. */
const PEER_TRIAL_MS = 2_000;
/** Minimum weight of a crash that leaves no doubt about its cause. */
const CERTAIN_WEIGHT = 1;
/**
 * Time in which a quarantine is lifted if another request turns out to have been at the same
 * crashes, in ms: crashes are learned of up to four seconds late, and then reported to other hosts.
 */
const PROVISIONAL_MS = 5_000;
/** Age of a quarantine up to which the removal of its record means that another host lifted it, in ms. */
const MAX_LIFT_AGE_MS = 2 * PROVISIONAL_MS;
/** Weight of each crash of a request that failed its trials. */
const FAILED_TRIALS_WEIGHT = 1;
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
/** Maximum number of retracted crashes that are remembered; the oldest are forgotten first. */
const MAX_RETRACTED = 1_000;

/**
 * Detects requests that crash the runners they are sent to, whichever caller sends them, and
 * quarantines them. Crashes are kept as sets, so the order and number of times in which hosts
 * report them do not matter. A successful response clears a request, since a request that crashes
 * every runner never gets one. Each crash is attributed to one request only: if a quarantined
 * request was present, the crash does not count against any other. Presence alone, at crashes that
 * other requests may explain, makes a request suspect: it is held back for seconds, then a single
 * copy is tried at a runner that has nothing else. Failed trials quarantine it.
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

  /** Time for which a request is held back, in ms; 0 if it is not. */
  remainingMs(fingerprint: string): number {
    const suspect = this.suspects.get(fingerprint);
    if (!suspect) return 0;
    const {quarantinedAt} = suspect;
    const until =
      quarantinedAt === undefined
        ? this.suspectedUntil(suspect)
        : quarantinedAt + QUARANTINE_MS;
    return Math.max(0, until - this.options.clock.now());
  }

  /** Whether a request is quarantined, rather than held back between trials. */
  isQuarantined(fingerprint: string): boolean {
    return this.suspects.get(fingerprint)?.quarantinedAt !== undefined;
  }

  /**
   * Lets a request through unless it is held back; a suspect one is on trial from then on.
   *
   * @param request id of this copy of the request
   * @returns time for which it is held back, in ms; 0 if it may be sent
   */
  admit(fingerprint: string, request: string): number {
    const remainingMs = this.remainingMs(fingerprint);
    const suspect = this.suspects.get(fingerprint);
    if (remainingMs > 0 || !suspect || !isSuspect(suspect)) return remainingMs;
    suspect.trial = {request, until: this.options.clock.now() + TRIAL_MS};
    for (const {onTrial} of this.listeners) onTrial?.(fingerprint, request);
    return 0;
  }

  /** Whether this copy of a request is on trial. */
  isOnTrial(fingerprint: string, request: string): boolean {
    return this.suspects.get(fingerprint)?.trial?.request === request;
  }

  /** Ends the trial of a copy that reached no runner. */
  cancelTrial(fingerprint: string, request: string): void {
    const suspect = this.suspects.get(fingerprint);
    if (suspect?.trial?.request !== request) return;
    suspect.trial = undefined;
    suspect.lastCancelledAt = this.options.clock.now();
  }

  /** Number of requests that are held back between trials. */
  get suspectedCount(): number {
    return this.unquarantinedSuspects().filter(isSuspect).length;
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
   * Records runners that crashed while they had a request.
   *
   * @param request id of the copy that the runners had; absent if it is not known
   */
  recordCrashes(
    fingerprint: string,
    crashes: readonly RunnerCrash[],
    request?: string,
  ): void {
    const isTrial =
      request !== undefined && this.isOnTrial(fingerprint, request);
    this.addCrashes(
      fingerprint,
      isTrial ? crashes.map(crash => ({...crash, isTrial})) : crashes,
    );
    const suspect = this.suspects.get(fingerprint);
    if (isTrial && suspect) suspect.trial = undefined;
    // Requests that broke off together are all recorded before the crash is confirmed.
    const isConfirmed = crashes.some(({weight}) => weight > 0);
    if (isConfirmed) this.evaluate([fingerprint]);
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

  /** Applies the removal of a quarantine record from the store. */
  removeRecord(fingerprint: string): void {
    const suspect = this.suspects.get(fingerprint);
    if (suspect?.quarantinedAt === undefined) return;
    const ageMs = this.options.clock.now() - suspect.quarantinedAt;
    // Another host has found that the crashes may have another cause; they still count.
    if (ageMs < MAX_LIFT_AGE_MS) this.lift(suspect);
    else this.release(fingerprint, ReleaseReason.REMOVED);
  }

  /** Records that a request was answered successfully. */
  recordAnswer(fingerprint: string): void {
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
    const recent = this.unquarantinedSuspects()
      .filter(({changedAt}) => now - changedAt <= GOSSIP_MS)
      .reverse();
    const suspects = [
      ...this.quarantinedSuspects(),
      ...recent.filter(isSuspect),
      ...recent.filter(suspect => !isSuspect(suspect)),
    ];
    const trials = this.unquarantinedSuspects().filter(
      ({trial}) => trial !== undefined && trial.until > now,
    );
    const ends = suspects
      .slice(0, MAX_DIGEST_REQUESTS)
      .map(suspect => [suspect.fingerprint, toRunnerCrashes(suspect)] as const);
    return {
      ends: Object.fromEntries(ends),
      answered: [...this.answered.keys()],
      trials: trials
        .slice(-MAX_DIGEST_REQUESTS)
        .map(({fingerprint}) => fingerprint),
    };
  }

  /** Merges a digest from other hosts. */
  mergeDigest({ends, answered, trials = []}: QuarantineDigest): void {
    for (const fingerprint of answered) {
      const hasCrashes = this.suspects.get(fingerprint)?.crashes.length;
      if (hasCrashes) this.release(fingerprint, ReleaseReason.ANSWERED);
    }
    for (const [fingerprint, crashes] of Object.entries(ends))
      this.addCrashes(fingerprint, crashes);
    const peerTrialUntil = this.options.clock.now() + PEER_TRIAL_MS;
    for (const suspect of this.findSuspects(trials))
      suspect.peerTrialUntil = peerTrialUntil;
    this.evaluate(Object.keys(ends));
  }

  /** Releases a request and discounts the crashes recorded for it so far. */
  release(fingerprint: string, reason: ReleaseReason): void {
    const suspect = this.suspects.get(fingerprint);
    if (!suspect) return;
    const wasQuarantined = suspect.quarantinedAt !== undefined;
    const crashCount = suspect.crashes.length;
    suspect.discountCrashes();
    if (!wasQuarantined && crashCount >= SUSPICION_CRASHES)
      for (const {onCleared} of this.listeners)
        onCleared?.(fingerprint, crashCount);
    if (!wasQuarantined) return;
    for (const {onReleased} of this.listeners) onReleased(fingerprint, reason);
  }

  /** Takes back the crash of a runner start, which is there again, and releases requests that the other crashes don't suffice for. */
  retractCrash(start: number): void {
    this.retracted.set(start, this.options.clock.now());
    if (this.retracted.size > MAX_RETRACTED)
      this.retracted.delete([...this.retracted.keys()][0]);
    for (const suspect of this.suspects.values()) {
      if (!suspect.wasPresentAt(start)) continue;
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
    this.liftDoubtful();
    this.quarantineRecurrent([...this.suspects.keys()]);
    this.quarantineAfterTrials([...this.suspects.keys()]);
    this.quarantineUncertain();
  }

  /** Until when a request that is not quarantined is held back at this host, in ms. */
  private suspectedUntil(suspect: SuspectRequest): number {
    if (!isSuspect(suspect)) return -Infinity;
    const rank = this.options.rankOf?.(suspect.fingerprint) ?? 0;
    const trialAt = computeTrialTime({suspect, rank});
    const {trial, peerTrialUntil} = suspect;
    return Math.max(trialAt, trial?.until ?? -Infinity, peerTrialUntil);
  }

  /** Applies the rules that need no delay to requests whose crashes changed. */
  private evaluate(fingerprints: readonly string[]): void {
    this.quarantineCertain(fingerprints);
    this.quarantineRecurrent(fingerprints);
    this.quarantineAfterTrials(fingerprints);
  }

  /** Releases requests whose quarantine is over and forgets crashes past their retention. */
  private expire(): void {
    const now = this.options.clock.now();
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
    const counted = crashes.filter(({start}) => !this.isRetracted(start));
    if (counted.length === 0) return;
    const suspect = this.touchSuspect(fingerprint);
    const now = this.options.clock.now();
    const countBefore = suspect.crashes.length;
    for (const crash of counted) suspect.addCrash(crash, now);
    if (suspect.crashes.length > countBefore) this.reportSuspicion(suspect);
  }

  private reportSuspicion(suspect: SuspectRequest): void {
    if (suspect.quarantinedAt !== undefined || !isSuspect(suspect)) return;
    const {fingerprint, crashes, weight, failedTrials} = suspect;
    const report: SuspicionReport = {
      fingerprint,
      crashes: crashes.length,
      weight,
      unexplainedWeight: suspect.weightExcluding(this.explainedCrashes()),
      failedTrials,
      remainingMs: this.remainingMs(fingerprint),
    };
    for (const {onSuspected} of this.listeners) onSuspected?.(report);
  }

  /** Quarantines requests during whose trials runners crashed. */
  private quarantineAfterTrials(fingerprints: readonly string[]): void {
    const now = this.options.clock.now();
    for (const suspect of this.findSuspects(fingerprints)) {
      if (suspect.quarantinedAt !== undefined) continue;
      const isDecided =
        suspect.failedTrials >= QUARANTINE_TRIALS ||
        this.hasFailedAlone(suspect);
      if (!isDecided) continue;
      // Digests and the store carry the weights that led to the quarantine.
      for (const {start} of suspect.crashes)
        suspect.addCrash({start, weight: FAILED_TRIALS_WEIGHT}, now);
      this.startQuarantine(suspect);
    }
  }

  /**
   * Quarantines by crashes of runs that had started and produced no output. They leave no doubt, so
   * reports from other hosts need not be awaited.
   */
  private quarantineCertain(fingerprints: readonly string[]): void {
    const quarantined = this.quarantineHeaviestFirst(
      this.findSuspects(fingerprints),
      {minWeight: CERTAIN_WEIGHT, minCrashes: SUSPICION_CRASHES},
    );
    for (const suspect of quarantined) suspect.isProvisional = true;
  }

  /** Lifts recent quarantines for crashes that another request turns out to explain as well. */
  private liftDoubtful(): void {
    const now = this.options.clock.now();
    for (const suspect of this.quarantinedSuspects()) {
      if (!suspect.isProvisional) continue;
      const {quarantinedAt = now} = suspect;
      suspect.isProvisional = now - quarantinedAt < PROVISIONAL_MS;
      const contested = this.contestedCrashes(suspect, SUSPICION_CRASHES);
      if (reachesThreshold(suspect.weightExcluding(contested))) continue;
      this.lift(suspect);
    }
  }

  /** Ends a quarantine without discounting the crashes, so that the request is tried next. */
  private lift(suspect: SuspectRequest): void {
    const {fingerprint} = suspect;
    suspect.quarantinedAt = undefined;
    suspect.isProvisional = false;
    for (const {onDoubted} of this.listeners) onDoubted?.(fingerprint);
    this.reportSuspicion(suspect);
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
        explained: this.otherwiseExplained(suspect, SUSPICION_CRASHES),
        settledUntil: now - PROPAGATION_MS,
      });
      const weight = crashes.reduce((sum, crash) => sum + crash.weight, 0);
      if (!reachesThreshold(weight)) continue;
      // Digests and the store carry the weights that led to the quarantine.
      for (const crash of crashes) suspect.addCrash(crash, now);
      this.startQuarantine(suspect);
      suspect.isProvisional = true;
    }
  }

  /** Whether a runner crashed during a trial, and no other request was there that may be the cause. */
  private hasFailedAlone(suspect: SuspectRequest): boolean {
    if (suspect.failedTrials === 0) return false;
    const settledUntil = this.options.clock.now() - PROPAGATION_MS;
    const {failedTrials} = suspect;
    const minTrials = failedTrials < REPEATED_TRIALS ? 0 : failedTrials;
    const others = [...this.suspects.values()].filter(
      other =>
        other !== suspect &&
        (isSuspect(other)
          ? other.failedTrials >= minTrials
          : countShared(other, suspect) >= MIN_OTHER_CRASHES),
    );
    return suspect.crashes.some(
      ({start, weight, notedAt, isTrial}) =>
        isTrial &&
        weight > 0 &&
        notedAt <= settledUntil &&
        !others.some(other => other.wasPresentAt(start)),
    );
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
      // The others are held back between trials, which decide sooner.
      .filter(({crashes}) =>
        crashes.every(({weight}) => weight < CERTAIN_WEIGHT),
      )
      .filter(suspect => !this.isIndistinguishable(suspect));
    this.quarantineHeaviestFirst(settled, {
      minWeight: 0,
      minCrashes: Infinity,
    });
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
    {minWeight, minCrashes}: EvidenceBounds,
  ): SuspectRequest[] {
    const heaviestFirst = suspects
      .filter(
        ({quarantinedAt, weight}) =>
          quarantinedAt === undefined && reachesThreshold(weight),
      )
      .sort((a, b) => b.weight - a.weight);
    return heaviestFirst.filter(suspect => {
      const explained = this.otherwiseExplained(suspect, minCrashes);
      const weight = suspect.weightExcluding(explained, minWeight);
      if (!reachesThreshold(weight)) return false;
      this.startQuarantine(suspect);
      return true;
    });
  }

  /**
   * Crashes at which another request was present that may be the cause as well.
   *
   * @param minCrashes number of crashes with which a request may be, unless the suspect has fewer
   */
  private contestedCrashes(
    suspect: SuspectRequest,
    minCrashes: number,
  ): Set<number> {
    const {crashes} = suspect;
    const least = Math.min(crashes.length, minCrashes);
    const others = [...this.suspects.values()].filter(
      other => other !== suspect && other.crashes.length >= least,
    );
    const contested = crashes
      .map(({start}) => start)
      .filter(start => others.some(other => other.wasPresentAt(start)));
    return new Set(contested);
  }

  private startQuarantine(suspect: SuspectRequest): void {
    suspect.quarantinedAt = this.options.clock.now();
    suspect.trial = undefined;
    suspect.isProvisional = false;
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

  /** Crashes of a request that a quarantined request explains, or another one as well. */
  private otherwiseExplained(
    suspect: SuspectRequest,
    minCrashes: number,
  ): Set<number> {
    const contested = this.contestedCrashes(suspect, minCrashes);
    return new Set([...this.explainedCrashes(), ...contested]);
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
  return crashes.map(({start, weight, isTrial}) => ({start, weight, isTrial}));
}

/** Whether enough runners crashed that had a request, and none answered it since. */
function isSuspect({crashes}: SuspectRequest): boolean {
  return crashes.length >= SUSPICION_CRASHES;
}

/** Number of crashes of a request at which another one was present. */
function countShared({crashes}: SuspectRequest, other: SuspectRequest): number {
  return crashes.filter(({start}) => other.wasPresentAt(start)).length;
}

function reachesThreshold(weight: number): boolean {
  return weight >= QUARANTINE_WEIGHT - WEIGHT_EPSILON;
}
