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
  /** Returns the current progress, with the counts of all hosts. */
  readonly progress: () => RolloutProgress;
  /** Returns the current progress, with the counts of this host only. */
  readonly ownProgress: () => RolloutProgress;
  /** Returns the number of hosts that share the bounds, including this one; undefined if this host does not know. */
  readonly sharerCount: () => number | undefined;
}

/** The share that sends all calls to the new version. */
const FULL_SHARE = 1;

/** Decides how many of a service's calls go to the new version of a rollout, based on what is known about it. */
export class RolloutExposure {
  private readonly sessionSchedule = new SessionShareSchedule();

  constructor(private readonly options: Options) {}

  /** The current share of sessions on the new version, 0 to 1. */
  get sessionShare(): number {
    const progress = this.updateSchedule();
    const {elapsedMs, durationMs, isSuspect} = progress;
    if (!canShiftSessions(progress)) return 0;
    // Hosts learn of the completion one after the other; without this, sessions went back to the old version at a host that had
    // not learned of it yet.
    if (elapsedMs >= computeLatestCompletionMs(durationMs) && !isSuspect)
      return FULL_SHARE;
    return this.sessionSchedule.shareAt(elapsedMs);
  }

  /** The current share of calls without a session that go to the new version, 0 to 1. */
  get callShare(): number {
    const progress = this.updateSchedule();
    return this.isShiftingAll
      ? FULL_SHARE
      : computeCanaryShare(this.options.bounds, progress);
  }

  /** Whether one more call without a session may go to the new version; checked for each call against the counts so far. */
  get isUnderExposureLimit(): boolean {
    const progress = this.updateSchedule();
    if (this.isShiftingAll) return this.isUnderOwnLimit();
    return (
      progress.sentFresh + 1 <=
      computeCanaryLimit(this.options.bounds, progress)
    );
  }

  /** Whether all calls are being shifted to the new version, which ends the canary phase. */
  get isShiftingAll(): boolean {
    return (
      this.sessionSchedule.shareAt(this.options.progress().elapsedMs) ===
      FULL_SHARE
    );
  }

  /** The steps of the share of sessions, to announce to the other hosts. */
  get shareSteps(): ShareSteps {
    this.updateSchedule();
    return this.sessionSchedule.announcedSteps;
  }

  /** Merges the steps that other hosts announced. */
  mergeSteps(steps: ShareSteps | undefined): void {
    this.sessionSchedule.merge(steps);
  }

  /** Whether the rollout may complete, given the number of calls still running on the old version. */
  canComplete(oldRunning: number): boolean {
    const {bounds} = this.options;
    const progress = {
      ...this.options.progress(),
      isShiftingAll: this.isShiftingAll,
    };
    return canCompleteRollout(bounds, progress, oldRunning);
  }

  /** Enforces this host's part of the bounds against its own counts; the parts of all hosts add up to the bounds. */
  private isUnderOwnLimit(): boolean {
    const {bounds, ownProgress, sharerCount} = this.options;
    const sharers = sharerCount();
    const calls = sharers === undefined ? 0 : bounds.calls / sharers;
    return canShiftOneMoreCall({...bounds, calls}, ownProgress());
  }

  /** Schedules a larger share of sessions if it will be allowed when it takes effect; returns the current progress. */
  private updateSchedule(): RolloutProgress {
    const {bounds} = this.options;
    const progress = this.options.progress();
    const {elapsedMs} = progress;
    const progressThen = {
      ...progress,
      elapsedMs: SessionShareSchedule.effectiveFrom(elapsedMs),
    };
    if (!canShiftSessions(progressThen)) return progress;
    const share = canShiftAllCalls(bounds, progressThen)
      ? FULL_SHARE
      : computeCanaryShare(bounds, progress);
    this.sessionSchedule.scheduleIncrease(share, elapsedMs);
    return progress;
  }
}
