import {
  compareTimes,
  evaluateTimes,
  isLikelyWorse,
  isRecentlyWorse,
  isVersionSuspect,
  evaluateVersion,
  isShownSound,
  mustEndRollout,
  RolloutPhase,
} from '@bayspool/decisions/calls';
import type {
  ExposureBounds,
  RolloutProgress,
  RolloutOrder,
  TimeComparison,
  VersionOutcomes,
} from '@bayspool/decisions/calls';
import {getOwn} from '@bayspool/kernel';
import type {Clock} from '@bayspool/kernel';
import {roundToHundredths} from '../observability/round_to_hundredths.js';
import type {EventLog} from '../observability/event_log.js';
import {addOutcomeCounts} from './add_outcome_counts.js';
import {mergeRolloutDigests} from './merge_rollout_digests.js';
import type {OutcomeCounts} from './outcome_counts.js';
import {RecentEvidence} from './recent_evidence.js';
import type {RolloutAge} from './rollout_age.js';
import type {RolloutDigest} from './rollout_digest.js';
import {RolloutEvidence} from './rollout_evidence.js';
import {RolloutExposure} from './rollout_exposure.js';
import {hasKnownAge} from './has_known_age.js';
import {VersionRates} from './version_rates.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly order: RolloutOrder;
  /** Age of the order when this host learned of it, in ms. */
  readonly elapsedMs: number;
  /** Whether this host learned of the order as it was made; otherwise the age is computed from the wall clock. */
  readonly isSeen: boolean;
  /** Whether the rollout had been announced before this host started, so that an earlier process of it may have counted. */
  readonly wasAnnounced?: () => boolean;
  /** Offset in the topic of states from which states belong to this order. */
  readonly statesFrom: number;
  /** How many of the service's calls the new version may get until the deadline of the rollout. */
  readonly exposureBounds?: ExposureBounds;
  /** Returns the number of hosts that share the bounds; undefined if this host does not know. */
  readonly sharerCount?: () => number | undefined;
}

/** Used where the platform sets no bounds: enough calls to tell a bad version from a good one. */
const DEFAULT_EXPOSURE_BOUNDS: ExposureBounds = {share: 0.15, calls: 30};
/** How long the summary of all hosts' evidence is cached, in ms; every call needs it. */
const SUMMARY_TTL_MS = 100;
/**
 * How long a host that did not see an order arrive waits for its peers to report the age, in ms; a peer that is asked answers
 * at once. Without the wait, a wall clock that is seconds ahead would end the canary phase early; a longer wait would keep
 * sessions on the old version that other hosts have already moved.
 */
const PEER_AGE_TIMEOUT_MS = 300;

/** Failed attempts after which a version that has answered no call counts as only failing. */
const MIN_ONLY_FAILURES = 2;

/** Time without any call of the service after which it counts as idle, in ms: a few exchanges between hosts. */
const MIN_IDLE_MS = 1_000;

/** Parts of the duration within which the times of both versions are compared. */
const COMPARED_PARTS = 8;

const ZERO_COUNTS: OutcomeCounts = [0, 0, 0, 0];

/** A rollout as this host knows it: its age and phase, the evidence on both versions, and the share of the new one. */
export class Rollout {
  /** Evidence on both versions from the attempts of this host. */
  readonly evidence = new RolloutEvidence({
    currentPart: () => this.computeCurrentPart(),
  });
  /** The current phase: active, or how the rollout ended. */
  phase: RolloutPhase = RolloutPhase.ACTIVE;
  /** Offset after the state that ended the rollout, in the topic of states; 0 while it is active. */
  offsetAfterEnd = 0;
  /** Sum of the digests of the other hosts. */
  remoteDigest: RolloutDigest | undefined;
  /** Offset in the topic of states from which states belong to this order; earlier ones belong to previous orders. */
  statesFrom: number;
  private startedAt: number;
  private isSeen: boolean;
  /** Whether a peer reported the age, which takes precedence over this host's wall clock. */
  private isAgeFromPeer = false;
  private readonly learnedAt: number;
  private hasBadVerdict = false;
  private readonly exposure: RolloutExposure;
  private readonly rates: VersionRates;
  private readonly ownRates: VersionRates;
  private readonly recentEvidence: RecentEvidence;
  private hasLikelyRegression = false;
  private summary: {readonly good: number; readonly isSuspect: boolean};
  private summarizedAt = -Infinity;

  constructor(private readonly options: Options) {
    this.learnedAt = options.clock.now();
    this.startedAt = this.learnedAt - options.elapsedMs;
    this.isSeen = options.isSeen;
    this.statesFrom = options.statesFrom;
    this.rates = new VersionRates(options);
    this.ownRates = new VersionRates(options);
    this.recentEvidence = new RecentEvidence(options);
    this.summary = {good: 0, isSuspect: false};
    this.exposure = new RolloutExposure({
      bounds: options.exposureBounds ?? DEFAULT_EXPOSURE_BOUNDS,
      progress: () => this.measureProgress(),
      ownProgress: () =>
        this.createProgress(
          this.ownRates.update(this.evidence.sent, this.elapsedMs),
        ),
      sharerCount: options.sharerCount ?? (() => 1),
    });
  }

  /** The order that started the rollout. */
  get order(): RolloutOrder {
    return this.options.order;
  }

  /** Time since the order, in ms; 0 while this host does not know the age. */
  get elapsedMs(): number {
    return this.isAgeKnown ? this.options.clock.now() - this.startedAt : 0;
  }

  /**
   * Whether this host knows the age of the order: it saw the order arrive, a peer reported the age, or no peer did in time and
   * the wall clock has to serve. Until then the new version gets its smallest share, and no sessions.
   */
  get isAgeKnown(): boolean {
    if (this.isSeen || this.isAgeFromPeer) return true;
    return this.options.clock.now() - this.learnedAt >= PEER_AGE_TIMEOUT_MS;
  }

  /**
   * Whether a host started during the rollout. What its earlier process counted is lost, so the counts of all hosts may lack
   * the failures that the new version had.
   */
  get hasLostCounts(): boolean {
    return this.hasLostOwnCounts || (this.remoteDigest?.hasLostCounts ?? false);
  }

  /** Whether this host or another one found the new version worse than the old one. */
  get isBad(): boolean {
    return this.hasBadVerdict;
  }

  /** Whether the new version gets no calls because the hosts found it bad or the store says that it was reverted. */
  get isRolledBack(): boolean {
    return this.phase === RolloutPhase.REVERTED || this.hasBadVerdict;
  }

  /** Whether the new version seems to fail more than the old one, with or without a verdict. */
  get isSuspect(): boolean {
    return isVersionSuspect(this.tallies);
  }

  /**
   * Whether the new version has failed repeatedly and answered no call yet, at any host as far as this one knows. While it
   * runs more attempts than it has failed, such as long streams, it may be answering.
   */
  get hasOnlyFailed(): boolean {
    const {ended, failed} = this.tallies.fresh;
    const running = this.sent.fresh - ended;
    return failed >= MIN_ONLY_FAILURES && failed === ended && running <= failed;
  }

  /** Returns the share of calls that the new version gets now, 0 to 1. */
  shareOf({hasSession}: {readonly hasSession: boolean}): number {
    if (this.isRolledBack) return 0;
    if (this.phase === RolloutPhase.COMPLETE) return 1;
    const {sessionShare, callShare} = this.exposure;
    return hasSession ? sessionShare : callShare;
  }

  /** Whether one more call without a session may go to the new version now. */
  get isUnderExposureLimit(): boolean {
    return this.exposure.isUnderExposureLimit;
  }

  /** Whether the rollout is in its canary phase, in which the new version gets only a part of the calls. */
  get isInCanaryPhase(): boolean {
    const isActive = this.phase === RolloutPhase.ACTIVE;
    return isActive && !this.exposure.isShiftingAll;
  }

  /** Whether a version may take over responses that another version started. */
  acceptsResponsesOf(version: string): boolean {
    const isNew = version === this.order.version;
    if (this.phase === RolloutPhase.COMPLETE) return isNew;
    if (!isNew) return true;
    const isPastDeadline = this.elapsedMs >= this.order.durationMs;
    return !this.isRolledBack && (isPastDeadline || !this.isInCanaryPhase);
  }

  /** Whether the rollout may complete, given the number of calls still running on the old version. */
  canComplete(oldRunning: number): boolean {
    return this.exposure.canComplete(oldRunning);
  }

  /**
   * Whether the new version may still be bad at the time limit. It is rolled back then, as completion would stop the old runners,
   * so that nothing could be taken back afterwards.
   */
  get isUndecidedAtLimit(): boolean {
    if (!mustEndRollout({elapsedMs: this.elapsedMs, ...this.order}))
      return false;
    return this.measureProgress().isSuspect;
  }

  /** Records the final phase and the offset of the state that holds it. */
  markEnded(phase: RolloutPhase, offset: number): void {
    this.phase = phase;
    this.offsetAfterEnd = offset + 1;
  }

  /**
   * Merges the age that another host reports. A host that saw the order arrive can only underestimate the age, so the longest
   * such age wins. It takes precedence over any age computed from the wall clock, which may have jumped by seconds.
   */
  mergeAge(remote: RolloutAge): void {
    if (!hasKnownAge(remote)) return;
    const {elapsedMs, isSeen} = remote;
    const startedAt = this.options.clock.now() - elapsedMs;
    const isSameSource = isSeen === this.isSeen && this.isAgeKnown;
    if (isSameSource) this.startedAt = Math.min(this.startedAt, startedAt);
    else if (!this.isSeen) this.startedAt = startedAt;
    this.isSeen ||= isSeen;
    this.isAgeFromPeer = true;
  }

  /** Applies the sum of the digests of the other hosts. */
  applyRemoteDigest(remote: RolloutDigest): void {
    this.remoteDigest = remote;
    this.mergeSchedule(remote);
  }

  /** Merges the age and the share steps that another host reports, but not its counts. */
  mergeSchedule(remote: RolloutDigest): void {
    this.mergeAge(remote);
    this.exposure.mergeSteps(remote.shares);
  }

  /** Applies an age computed from the start record and the wall clock, unless a better one is known. */
  applyWallClockElapsed(elapsedMs: number): void {
    if (this.isSeen || this.isAgeFromPeer) return;
    const startedAt = this.options.clock.now() - elapsedMs;
    this.startedAt = Math.min(this.startedAt, startedAt);
  }

  /** Returns the digest that this host sends to the others. */
  createDigest(oldRunning: number): RolloutDigest {
    return {
      offset: this.order.offset,
      // Rounded down, since an age that is too high would raise the share at other hosts.
      elapsedMs: Math.floor(this.elapsedMs),
      isSeen: this.isSeen,
      isBad: this.hasBadVerdict,
      shares: this.exposure.shareSteps,
      oldRunning,
      hasLostCounts: this.hasLostOwnCounts || undefined,
      freshSent: this.evidence.sent.fresh,
      oldSent: this.evidence.sent.old,
      fresh: toDigestCells(
        this.evidence.fresh,
        this.evidence.countOverdue(true),
      ),
      old: toDigestCells(this.evidence.old, this.evidence.countOverdue(false)),
      freshTimes: this.evidence.times.fresh.strata,
      oldTimes: this.evidence.times.old.strata,
    };
  }

  /** Attempts sent to the new version and to the others since the order, at all hosts as far as this one knows. */
  get sent(): {readonly fresh: number; readonly old: number} {
    const {fresh, old} = this.evidence.sent;
    return {
      fresh: fresh + (this.remoteDigest?.freshSent ?? 0),
      old: old + (this.remoteDigest?.oldSent ?? 0),
    };
  }

  /** Outcomes of both versions at all hosts, summed over all routes. */
  get tallies(): {
    readonly fresh: VersionOutcomes;
    readonly old: VersionOutcomes;
  } {
    const {fresh, old} = this.combineDigests();
    return {
      fresh: sumAllCells(fresh),
      old: sumAllCells(old),
    };
  }

  /** How the times to the first byte of the new version compare with those of the old one, at all hosts. */
  get timeComparison(): TimeComparison {
    return compareTimesOf(this.combineDigests());
  }

  /** Evaluates the new version by the evidence of all hosts, over all cells together and for each cell. */
  evaluate(): void {
    if (this.hasBadVerdict || this.phase !== RolloutPhase.ACTIVE) return;
    const all = this.combineDigests();
    if (all.isBad) return this.markBad('told by another host', all);
    const recent = this.recentEvidence.update(all);
    this.hasLikelyRegression = this.detectLikelyRegression(all, recent);
    this.evaluateCells(all, 'all answers');
    this.evaluateCells({...all, ...recent}, 'recent answers', all);
    this.evaluateAllTimes(all);
  }

  private evaluateAllTimes(all: RolloutDigest): void {
    if (this.hasBadVerdict) return;
    if (evaluateTimes(compareTimesOf(all)) !== 'bad') return;
    this.markBad('times of all answers', all);
  }

  /** Whether the new version fails more than the old one recently, or in one cell. */
  private detectLikelyRegression(
    all: RolloutDigest,
    recent: Pick<RolloutDigest, 'fresh'>,
  ) {
    const old = sumAllCells(all.old);
    if (isRecentlyWorse({fresh: sumAllCells(recent.fresh), old})) return true;
    return Object.keys(all.fresh).some(name =>
      isLikelyWorse({
        fresh: sumCells(all.fresh, [name]),
        old: sumCells(all.old, [name]),
      }),
    );
  }

  /**
   * Evaluates all cells together and each one separately, since a version may be bad on one route only.
   *
   * @param usual cumulative counts of the old version. Where failures of both versions come in bursts, the old version has few in
   *     some seconds; a few failures of the new version in those seconds are no difference
   */
  private evaluateCells(
    seen: RolloutDigest,
    evidence: string,
    usual: Pick<RolloutDigest, 'old'> = seen,
  ): void {
    if (this.hasBadVerdict) return;
    const names = Object.keys(seen.fresh);
    for (const cellNames of [names, ...names.map(name => [name])]) {
      const fresh = sumCells(seen.fresh, cellNames);
      const old = sumCells(seen.old, cellNames);
      if (evaluateVersion({fresh, old}) !== 'bad') continue;
      if (
        evaluateVersion({fresh, old: sumCells(usual.old, cellNames)}) !== 'bad'
      )
        continue;
      return this.markBad(
        `${evidence}, ${cellNames.join(' ')}`,
        seen,
        fresh,
        old,
      );
    }
  }

  private computeCurrentPart(): number {
    const part = this.elapsedMs / this.order.durationMs;
    return Math.min(COMPARED_PARTS, Math.floor(part * COMPARED_PARTS));
  }

  private measureProgress(): RolloutProgress {
    return this.createProgress(this.rates.update(this.sent, this.elapsedMs));
  }

  /** Combines counts with what is known about the rollout from all hosts. */
  private createProgress(
    counts: ReturnType<VersionRates['update']>,
  ): RolloutProgress {
    this.refreshSummary();
    return {
      ...counts,
      elapsedMs: this.elapsedMs,
      durationMs: this.order.durationMs,
      goodFresh: this.summary.good,
      isSuspect: this.summary.isSuspect || this.hasLikelyRegression,
      isSeen: this.isSeen,
      isShiftingAll: false,
    };
  }

  /** Whether an earlier process of this host may have counted. */
  private get hasLostOwnCounts(): boolean {
    const {isSeen, wasAnnounced} = this.options;
    return !isSeen && (wasAnnounced?.() ?? false);
  }

  /** Whether the absence of bad responses is not enough for completion: some were perhaps lost, or no deadline is left to meet. */
  private get needsProof(): boolean {
    const hasCalls = this.sent.fresh + this.sent.old > 0;
    if (!this.hasLostCounts)
      return hasCalls && this.elapsedMs > this.order.durationMs;
    const knownForMs = this.options.clock.now() - this.learnedAt;
    return hasCalls || knownForMs < MIN_IDLE_MS;
  }

  private refreshSummary(): void {
    const now = this.options.clock.now();
    if (now - this.summarizedAt < SUMMARY_TTL_MS) return;
    this.summarizedAt = now;
    const {fresh, old} = this.tallies;
    const good = Math.max(0, fresh.ended - fresh.failed - fresh.slow);
    const {needsProof} = this;
    const isSuspect =
      isVersionSuspect({fresh, old}) ||
      !isShownSound({fresh, old, needsProof}) ||
      evaluateTimes(this.timeComparison) !== 'open';
    this.summary = {good, isSuspect};
  }

  /** Returns the digest of this host merged with those of the others. */
  private combineDigests(): RolloutDigest {
    const own = this.createDigest(0);
    return this.remoteDigest
      ? mergeRolloutDigests(own, this.remoteDigest)
      : own;
  }

  private markBad(
    evidence: string,
    all: RolloutDigest,
    fresh = sumAllCells(all.fresh),
    old = sumAllCells(all.old),
  ): void {
    this.hasBadVerdict = true;
    const {service, version} = this.order;
    const {compared, longerShare, deviations} = compareTimesOf(all);
    this.options.log.write('rollout_judged', {
      service,
      version,
      verdict: `bad: ${evidence}`,
      newEnded: fresh.ended,
      newFailed: fresh.failed,
      newSlow: fresh.slow,
      newLost: fresh.lost ?? 0,
      oldEnded: old.ended,
      oldFailed: old.failed,
      oldSlow: old.slow,
      oldLost: old.lost ?? 0,
      timesCompared: compared,
      longerShare: roundToHundredths(longerShare),
      longerDeviations: roundToHundredths(deviations),
      elapsedMs: Math.round(this.elapsedMs),
    });
  }
}

/** Returns the counts by cell; an overdue attempt counts as a slow response. */
function toDigestCells(
  cells: RolloutEvidence['fresh'],
  overdue: ReadonlyMap<string, number>,
): Record<string, OutcomeCounts> {
  const counts = new Map<string, OutcomeCounts>();
  for (const name of new Set([...cells.keys(), ...overdue.keys()])) {
    const {ended = 0, failed = 0, slow = 0, lost = 0} = cells.get(name) ?? {};
    const overdueCount = overdue.get(name) ?? 0;
    const slowCount = slow + overdueCount;
    counts.set(name, [ended + overdueCount, failed, slowCount, lost]);
  }
  return Object.fromEntries(counts);
}

function compareTimesOf({
  freshTimes = {},
  oldTimes = {},
}: RolloutDigest): TimeComparison {
  return compareTimes({fresh: freshTimes, old: oldTimes});
}

function sumAllCells(cells: RolloutDigest['fresh']): VersionOutcomes {
  return sumCells(cells, Object.keys(cells));
}

function sumCells(
  cells: RolloutDigest['fresh'],
  names: string[],
): VersionOutcomes {
  const [ended, failed, slow, lost] = names
    .map(name => getOwn(cells, name) ?? ZERO_COUNTS)
    .reduce(addOutcomeCounts, ZERO_COUNTS);
  return {ended, failed, slow, lost};
}
