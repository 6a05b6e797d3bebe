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
import {SessionShares} from './session_shares.js';
import type {ShareSteps} from './share_steps.js';

interface Options {
  readonly bounds: ExposureBounds;
  /** What hosts know together now. */
  readonly facts: () => RolloutProgress;
  /** The same with the counts of this host alone. */
  readonly ownFacts: () => RolloutProgress;
  /** Hosts that live, this one included. */
  readonly hosts: () => number;
}

/** The share at which all calls go to the new version. */
const ALL = 1;

/** How many of a service's calls go to the new version of a roll-out, by what is known of it. */
export class RolloutExposure {
  private readonly sessions = new SessionShares();

  constructor(private readonly options: Options) {}

  /** The share of sessions that are to be on the new version now, 0 to 1. */
  get sessionShare(): number {
    const facts = this.review();
    const {elapsedMs, durationMs, isSuspect} = facts;
    if (!canShiftSessions(facts)) return 0;
    // Hosts hear of the end one after the other: sessions went back at the next host without this.
    if (elapsedMs >= computeLatestCompletionMs(durationMs) && !isSuspect) return ALL;
    return this.sessions.at(elapsedMs);
  }

  /** The share of calls without a session that are to go there now, 0 to 1. */
  get callShare(): number {
    const facts = this.review();
    return this.isMovingAll ? ALL : computeCanaryShare(this.options.bounds, facts);
  }

  /** Whether one more call without a session may go to the new version: asked for each, by what was counted up to it. */
  get hasRoom(): boolean {
    const facts = this.review();
    if (this.isMovingAll) return this.mayMoveMore();
    return facts.sentFresh + 1 <= computeCanaryLimit(this.options.bounds, facts);
  }

  /** Whether all calls are to move, and no longer some to watch it. */
  get isMovingAll(): boolean {
    return this.sessions.at(this.options.facts().elapsedMs) === ALL;
  }

  /** The steps of the sessions' share, for the other hosts. */
  get toldSteps(): ShareSteps {
    this.review();
    return this.sessions.told;
  }

  /** Takes over the steps that other hosts told. */
  noteTold(steps: ShareSteps | undefined): void {
    this.sessions.take(steps);
  }

  /** Whether the roll-out may be complete, while so many calls still run on the old version. */
  mayComplete(oldRunning: number): boolean {
    const {bounds} = this.options;
    const facts = {...this.options.facts(), isMovingAll: this.isMovingAll};
    return canCompleteRollout(bounds, facts, oldRunning);
  }

  /** Each host keeps its part of the bounds by what it counts itself; the parts add up to the whole. */
  private mayMoveMore(): boolean {
    const {bounds, ownFacts, hosts} = this.options;
    const calls = bounds.calls / Math.max(1, hosts());
    return canShiftOneMoreCall({...bounds, calls}, ownFacts());
  }

  /** Raises the share of sessions by what is known now, for when it will hold. */
  private review(): RolloutProgress {
    const {bounds} = this.options;
    const facts = this.options.facts();
    const {elapsedMs} = facts;
    const then = {...facts, elapsedMs: SessionShares.heldFrom(elapsedMs)};
    if (!canShiftSessions(then)) return facts;
    const share = canShiftAllCalls(bounds, then) ? ALL : computeCanaryShare(bounds, facts);
    this.sessions.raise(share, elapsedMs);
    return facts;
  }
}
