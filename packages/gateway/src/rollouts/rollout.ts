import {
  isRecentlyWorse,
  isVersionSuspect,
  evaluateVersion,
  RolloutPhase,
} from '@bayspool/decisions/calls';
import type {
  ExposureBounds,
  RolloutProgress,
  RolloutOrder,
  VersionOutcomes,
} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import {mergeRolloutDigests} from './merge_rollout_digests.js';
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
  /** Time since the order when this host learned of it, in ms. */
  readonly elapsedMs: number;
  /** Whether this host learned of the order when it was new; else the time is worked out from a time of day. */
  readonly isSeen: boolean;
  /** Position in the topic of states from which they are about this order. */
  readonly statesFrom: number;
  /** How much of the service's calls the new version may get until the limit. */
  readonly exposureBounds?: ExposureBounds;
  /** Hosts that live, this one included. */
  readonly hostCount?: () => number;
}

/** What holds where the platform sets no bound: the calls in which a version that is bad can be told from a good one. */
const DEFAULT_EXPOSURE_BOUNDS: ExposureBounds = {share: 0.15, calls: 30};
/** How long what was summed of all hosts' evidence is used again, in ms: it is asked for with each call. */
const SUMMARY_TTL_MS = 100;
/**
 * How long a host that did not see an order waits for others to tell its age, in ms: one that is asked for what it
 * knows now answers at once. A clock that is ahead by seconds would end the watch of a new version
 * early; a longer wait would keep sessions on the old version that others have moved.
 */
const PEER_AGE_TIMEOUT_MS = 300;

/** One roll-out as this host knows it. */
export class Rollout {
  /** What this host itself saw of the two versions. */
  readonly evidence = new RolloutEvidence();
  /** Whether it goes on, and else how it ended. */
  phase: RolloutPhase = RolloutPhase.ACTIVE;
  /** Position behind the state that ended it, in the topic of states; 0 while it is active. */
  offsetAfterEnd = 0;
  /** What the other hosts told, summed. */
  remoteDigest: RolloutDigest | undefined;
  /** Position in the topic of states from which they are about this order; earlier ones are not. */
  statesFrom: number;
  private startedAt: number;
  private isSeen: boolean;
  /** Whether another host told an age, so that this host's own time of day does not count. */
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
      facts: () => this.facts(this.rates.update(this.sent, this.elapsedMs)),
      ownFacts: () =>
        this.facts(this.ownRates.update(this.evidence.sent, this.elapsedMs)),
      hostCount: options.hostCount ?? (() => 1),
    });
  }

  /** The order that started it. */
  get order(): RolloutOrder {
    return this.options.order;
  }

  /** Time since the order, in ms; 0 while this host does not know it. */
  get elapsedMs(): number {
    return this.isAgeKnown ? this.options.clock.now() - this.startedAt : 0;
  }

  /**
   * Whether this host knows how old the order is: it saw it arrive, another host told, or nobody did for so
   * long that a time of day has to do. Until then the new version gets its least share, and no sessions.
   */
  get isAgeKnown(): boolean {
    if (this.isSeen || this.isAgeFromPeer) return true;
    return this.options.clock.now() - this.learnedAt >= PEER_AGE_TIMEOUT_MS;
  }

  /** Whether this host or another one judged the new version worse than the old one. */
  get isBad(): boolean {
    return this.hasBadVerdict;
  }

  /** Whether the new version was found bad, by hosts or by the store's account, and gets no calls. */
  get isRolledBack(): boolean {
    return this.phase === RolloutPhase.REVERTED || this.hasBadVerdict;
  }

  /** Whether the new version seems to fail more than the old one, though it is not judged yet. */
  get isSuspect(): boolean {
    return isVersionSuspect(this.tallies);
  }

  /** The share of calls that the new version gets now, 0 to 1. */
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

  /** Whether the new version only gets some calls now, by which it is watched. */
  get isCanary(): boolean {
    const isActive = this.phase === RolloutPhase.ACTIVE;
    return isActive && !this.exposure.isMovingAll;
  }

  /** Whether it may be complete, while so many calls still run on the old version. */
  mayComplete(oldRunning: number): boolean {
    return this.exposure.mayComplete(oldRunning);
  }

  /** Takes over how it ended, and where the state that says so stands. */
  markEnded(phase: RolloutPhase, offset: number): void {
    this.phase = phase;
    this.offsetAfterEnd = offset + 1;
  }

  /**
   * Takes over how long ago another host says that the order was made. Hosts that saw it arrive only know a
   * time that is too short, so the longest one holds; it goes before any time that was worked out from a time
   * of day, since that may have jumped by seconds.
   */
  mergeAge(told: RolloutAge): void {
    if (!hasKnownAge(told)) return;
    const {elapsedMs, isSeen} = told;
    const startedAt = this.options.clock.now() - elapsedMs;
    const isAlike = isSeen === this.isSeen && this.isAgeKnown;
    if (isAlike) this.startedAt = Math.min(this.startedAt, startedAt);
    else if (!this.isSeen) this.startedAt = startedAt;
    this.isSeen ||= isSeen;
    this.isAgeFromPeer = true;
  }

  /** Takes over what the other hosts told, summed over them. */
  applyRemoteDigest(told: RolloutDigest): void {
    this.remoteDigest = told;
    this.mergeAge(told);
    this.exposure.mergeSteps(told.shares);
  }

  /** Takes over what the note in the store and this host's time of day say, while nobody told better. */
  applyWallClockElapsed(elapsedMs: number): void {
    if (this.isSeen || this.isAgeFromPeer) return;
    const startedAt = this.options.clock.now() - elapsedMs;
    this.startedAt = Math.min(this.startedAt, startedAt);
  }

  /** What this host itself saw, for the others. */
  createDigest(oldRunning: number): RolloutDigest {
    return {
      offset: this.order.offset,
      // Rounded down: told as older than it is, it would raise the share of others.
      elapsedMs: Math.floor(this.elapsedMs),
      isSeen: this.isSeen,
      isBad: this.hasBadVerdict,
      shares: this.exposure.shareSteps,
      oldRunning,
      freshSent: this.evidence.sent.fresh,
      oldSent: this.evidence.sent.old,
      fresh: toDigestCells(
        this.evidence.fresh,
        this.evidence.countOverdue(true),
      ),
      old: toDigestCells(this.evidence.old, this.evidence.countOverdue(false)),
    };
  }

  /** Attempts at the new version and at the others since the order, at all hosts as far as this one knows. */
  get sent(): {readonly fresh: number; readonly old: number} {
    const {fresh, old} = this.evidence.sent;
    return {
      fresh: fresh + (this.remoteDigest?.freshSent ?? 0),
      old: old + (this.remoteDigest?.oldSent ?? 0),
    };
  }

  /** What all hosts saw of the two versions, on all routes together. */
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

  /** Judges the new version by the evidence of all hosts, on all routes and on each one. */
  judge(): void {
    if (this.hasBadVerdict || this.phase !== RolloutPhase.ACTIVE) return;
    const all = this.combineDigests();
    if (all.isBad) return this.markBad('told by another host', all);
    const recent = this.recentEvidence.update(all);
    this.hasLikelyRegression = this.detectLikelyRegression(all, recent);
    this.judgeCells(all, 'all answers');
    this.judgeCells({...all, ...recent}, 'recent answers', all);
  }

  /** Whether lately, or on one route, the new version fails more than the old one. */
  private detectLikelyRegression(
    all: RolloutDigest,
    recent: Pick<RolloutDigest, 'fresh'>,
  ) {
    const old = sumAllCells(all.old);
    if (isRecentlyWorse({fresh: sumAllCells(recent.fresh), old})) return true;
    return Object.keys(all.fresh).some(name =>
      isVersionSuspect({
        fresh: sumCells(all.fresh, [name]),
        old: sumCells(all.old, [name]),
      }),
    );
  }

  /**
   * Judges by all routes together and by each one: a version may be bad on one of them.
   *
   * @param usual all that was seen of the old version: what fails by turns fails seldom in some seconds, and a few failures of the
   *     new version in these are no difference
   */
  private judgeCells(
    seen: RolloutDigest,
    of: string,
    usual: Pick<RolloutDigest, 'old'> = seen,
  ): void {
    if (this.hasBadVerdict) return;
    const names = Object.keys(seen.fresh);
    for (const chosen of [names, ...names.map(name => [name])]) {
      const fresh = sumCells(seen.fresh, chosen);
      const old = sumCells(seen.old, chosen);
      if (evaluateVersion({fresh, old}) !== 'bad') continue;
      if (evaluateVersion({fresh, old: sumCells(usual.old, chosen)}) !== 'bad')
        continue;
      return this.markBad(`${of}, ${chosen.join(' ')}`, seen, fresh, old);
    }
  }

  /** What hosts know together, as far as this one has heard, with some of their counts. */
  private facts(counts: ReturnType<VersionRates['update']>): RolloutProgress {
    this.refreshSummary();
    return {
      ...counts,
      elapsedMs: this.elapsedMs,
      durationMs: this.order.durationMs,
      goodFresh: this.summary.good,
      isSuspect: this.summary.isSuspect || this.hasLikelyRegression,
      isSeen: this.isSeen,
      isMovingAll: false,
    };
  }

  private refreshSummary(): void {
    const now = this.options.clock.now();
    if (now - this.summarizedAt < SUMMARY_TTL_MS) return;
    this.summarizedAt = now;
    const {fresh, old} = this.tallies;
    const good = Math.max(0, fresh.ended - fresh.failed - fresh.slow);
    this.summary = {good, isSuspect: isVersionSuspect({fresh, old})};
  }

  /** The evidence of all hosts. */
  private combineDigests(): RolloutDigest {
    const own = this.createDigest(0);
    return this.remoteDigest
      ? mergeRolloutDigests(own, this.remoteDigest)
      : own;
  }

  private markBad(
    where: string,
    all: RolloutDigest,
    fresh = sumAllCells(all.fresh),
    old = sumAllCells(all.old),
  ): void {
    this.hasBadVerdict = true;
    const {service, version} = this.order;
    this.options.log.write('rollout_judged', {
      service,
      version,
      verdict: `bad: ${where}`,
      newEnded: fresh.ended,
      newFailed: fresh.failed,
      newSlow: fresh.slow,
      oldEnded: old.ended,
      oldFailed: old.failed,
      oldSlow: old.slow,
      elapsedMs: Math.round(this.elapsedMs),
    });
  }
}

/** Counts by cell; what is overdue counts as an answer that is slow. */
function toDigestCells(
  cells: RolloutEvidence['fresh'],
  overdue: ReadonlyMap<string, number>,
): Record<string, readonly [number, number, number]> {
  const counts: Record<string, readonly [number, number, number]> = {};
  for (const name of new Set([...cells.keys(), ...overdue.keys()])) {
    const {ended = 0, failed = 0, slow = 0} = cells.get(name) ?? {};
    const late = overdue.get(name) ?? 0;
    counts[name] = [ended + late, failed, slow + late];
  }
  return counts;
}

function sumAllCells(cells: RolloutDigest['fresh']): VersionOutcomes {
  return sumCells(cells, Object.keys(cells));
}

function sumCells(
  cells: RolloutDigest['fresh'],
  names: string[],
): VersionOutcomes {
  const sum = {ended: 0, failed: 0, slow: 0};
  for (const name of names) {
    const [ended, failed, slow] = cells[name] ?? [0, 0, 0];
    sum.ended += ended;
    sum.failed += failed;
    sum.slow += slow;
  }
  return sum;
}
