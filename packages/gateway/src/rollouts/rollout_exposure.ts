import {
  computeLatestCompletionMs,
  canCompleteRollout,
  canShiftAllCalls,
  canShiftOneMoreCall,
  canShiftSessions,
  computeCanaryLimit,
  computeCanaryShare,
} from '@bayspool/decisions/calls';
import type {ExposureBounds, RolloutProgress} from '@bayspool/decisions/calls';
import {SessionShareSchedule} from './session_share_schedule.js';
import type {ShareSteps} from './share_steps.js';

interface Options {
  readonly bounds: ExposureBounds;
  /** What hosts know together now. */
  readonly facts: () => RolloutProgress;
  /** The same with the counts of this host alone. */
  readonly ownFacts: () => RolloutProgress;
  /** Hosts that live, this one included. */
  readonly hostCount: () => number;
}

/** The share at which all calls go to the new version. */
const FULL_SHARE = 1;

/** How many of a service's calls go to the new version of a roll-out, by what is known of it. */
export class RolloutExposure {
  private readonly sessionSchedule = new SessionShareSchedule();

  constructor(private readonly options: Options) {}

  /** The share of sessions that are to be on the new version now, 0 to 1. */
  get sessionShare(): number {
    const facts = this.updateSchedule();
    const {elapsedMs, durationMs, isSuspect} = facts;
    if (!canShiftSessions(facts)) return 0;
    // Hosts hear of the end one after the other: sessions went back at the next host without this.
    if (elapsedMs >= computeLatestCompletionMs(durationMs) && !isSuspect)
      return FULL_SHARE;
    return this.sessionSchedule.shareAt(elapsedMs);
  }

  /** The share of calls without a session that are to go there now, 0 to 1. */
  get callShare(): number {
    const facts = this.updateSchedule();
    return this.isMovingAll
      ? FULL_SHARE
      : computeCanaryShare(this.options.bounds, facts);
  }

  /** Whether one more call without a session may go to the new version: asked for each, by what was counted up to it. */
  get isUnderExposureLimit(): boolean {
    const facts = this.updateSchedule();
    if (this.isMovingAll) return this.isUnderOwnLimit();
    return (
      facts.sentFresh + 1 <= computeCanaryLimit(this.options.bounds, facts)
    );
  }

  /** Whether all calls are to move, and no longer some to watch it. */
  get isMovingAll(): boolean {
    return (
      this.sessionSchedule.shareAt(this.options.facts().elapsedMs) ===
      FULL_SHARE
    );
  }

  /** The steps of the sessions' share, for the other hosts. */
  get shareSteps(): ShareSteps {
    this.updateSchedule();
    return this.sessionSchedule.announcedSteps;
  }

  /** Takes over the steps that other hosts told. */
  mergeSteps(steps: ShareSteps | undefined): void {
    this.sessionSchedule.merge(steps);
  }

  /** Whether the roll-out may be complete, while so many calls still run on the old version. */
  mayComplete(oldRunning: number): boolean {
    const {bounds} = this.options;
    const facts = {...this.options.facts(), isMovingAll: this.isMovingAll};
    return canCompleteRollout(bounds, facts, oldRunning);
  }

  /** Each host keeps its part of the bounds by what it counts itself; the parts add up to the whole. */
  private isUnderOwnLimit(): boolean {
    const {bounds, ownFacts, hostCount: hosts} = this.options;
    const calls = bounds.calls / Math.max(1, hosts());
    return canShiftOneMoreCall({...bounds, calls}, ownFacts());
  }

  /** Raises the share of sessions by what is known now, for when it will hold. */
  private updateSchedule(): RolloutProgress {
    const {bounds} = this.options;
    const facts = this.options.facts();
    const {elapsedMs} = facts;
    const then = {
      ...facts,
      elapsedMs: SessionShareSchedule.effectiveFrom(elapsedMs),
    };
    if (!canShiftSessions(then)) return facts;
    const share = canShiftAllCalls(bounds, then)
      ? FULL_SHARE
      : computeCanaryShare(bounds, facts);
    this.sessionSchedule.scheduleIncrease(share, elapsedMs);
    return facts;
  }
}
