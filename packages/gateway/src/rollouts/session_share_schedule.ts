import {mergeShareSteps} from './merge_share_steps.js';
import type {ShareSteps} from './share_steps.js';

/** The share that every host applies, without an announcement, from the time at which sessions may move. */
const INITIAL_SHARE = 0.02;
/**
 * Time between the announcement of a larger share and its start, in ms: two exchanges between hosts. When each host raised the
 * share on its own, sessions went back to the old version at the next host, which had not received the new share (test in
 * which hosts take the calls of a session in turn).
 */
const ANNOUNCE_LEAD_MS = 1_000;

/**
 * The share of sessions on the new version of a rollout, over time. It rises in steps that hosts announce to each other before
 * they take effect, so that every host, including one that has just started, puts a session on the same version.
 */
export class SessionShareSchedule {
  private steps: ShareSteps = {};

  /** The steps to announce to other hosts. */
  get announcedSteps(): ShareSteps {
    return this.steps;
  }

  /** Returns the share in effect at a time since the order, in ms. */
  shareAt(elapsedMs: number): number {
    const inEffect = Object.entries(this.steps)
      .filter(([, fromMs]) => fromMs <= elapsedMs)
      .map(([share]) => Number(share));
    return Math.max(INITIAL_SHARE, ...inEffect);
  }

  /** Returns when a step that is scheduled now takes effect, as time since the order in ms. */
  static effectiveFrom(elapsedMs: number): number {
    return elapsedMs + ANNOUNCE_LEAD_MS;
  }

  /** Schedules a share to start once all hosts know it; ignored if an equal or larger share is scheduled already. */
  scheduleIncrease(share: number, elapsedMs: number): void {
    const isScheduled = Object.keys(this.steps).some(
      step => Number(step) >= share,
    );
    if (isScheduled || share <= INITIAL_SHARE) return;
    this.merge({[share]: SessionShareSchedule.effectiveFrom(elapsedMs)});
  }

  /** Merges the steps that other hosts announced. */
  merge(announced: ShareSteps | undefined): void {
    this.steps = mergeShareSteps(this.steps, announced);
  }
}
