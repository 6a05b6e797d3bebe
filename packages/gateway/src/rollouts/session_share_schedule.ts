import {mergeShareSteps} from './merge_share_steps.js';
import type {ShareSteps} from './share_steps.js';

/** The share of sessions that every host gives from when they may move on, without being told. */
const INITIAL_SHARE = 0.02;
/**
 * How long before it holds a larger share is told, in ms: two hand-overs between hosts. Where each host raised the share when it
 * saw fit, sessions went back to the old version at the next host, which had not heard of it (test of hosts that take
 * calls by turns).
 */
const ANNOUNCE_LEAD_MS = 1_000;

/**
 * The share of sessions that the new version of a roll-out gets. It rises in steps that hosts tell each other before they hold, so
 * that a session has the same version whichever host takes its calls, also one that has just started.
 */
export class SessionShareSchedule {
  private steps: ShareSteps = {};

  /** What is told to other hosts. */
  get announcedSteps(): ShareSteps {
    return this.steps;
  }

  /** The share at a time since the order, in ms. */
  shareAt(elapsedMs: number): number {
    const inForce = Object.entries(this.steps)
      .filter(([, fromMs]) => fromMs <= elapsedMs)
      .map(([share]) => Number(share));
    return Math.max(INITIAL_SHARE, ...inForce);
  }

  /** When a step that is made now will hold, as time since the order in ms. */
  static effectiveFrom(elapsedMs: number): number {
    return elapsedMs + ANNOUNCE_LEAD_MS;
  }

  /** Lets a share hold from when all hosts have heard of it; smaller ones than known are nothing new. */
  scheduleIncrease(share: number, elapsedMs: number): void {
    const isKnown = Object.keys(this.steps).some(step => Number(step) >= share);
    if (isKnown || share <= INITIAL_SHARE) return;
    this.merge({[share]: SessionShareSchedule.effectiveFrom(elapsedMs)});
  }

  /** Takes over what other hosts told. */
  merge(told: ShareSteps | undefined): void {
    this.steps = mergeShareSteps(this.steps, told);
  }
}
