import {CallKind, isStreamed} from '@bayspool/decisions/calls';
import type {CallRoute} from '@bayspool/decisions/calls';
import type {Runner} from '../runners/runner.js';

interface Progress {
  /** Time since this attempt last got anything, or was sent, in ms. */
  readonly quietMs: number;
  /** The longest pause between two events so far, in ms. */
  readonly longestPauseMs: number;
  readonly hasEvents: boolean;
  /** Expected time to the first event when it was sent, in ms. */
  readonly expectedMs: number;
}

/** Part of a safe call's latency target after which another runner is asked. */
const SAFE_PART = 0.6;
/** How many times a runner's usual time it may take all the same. */
const USUAL_TIMES = 2.5;
/** Shortest pause target that is reckoned with, in ms. */
const MIN_PAUSE_MS = 800;
/** How many times the expected time to the first event may pass in silence. */
const EXPECTED_TIMES = 3;
/** Part of the pause target after which a stream is continued elsewhere in any case. */
const PAUSE_PART = 0.9;
/**
 * The same where the runner sends nothing on any connection: what is left of the target has to do for
 * a new connection and for reading the prompt.
 */
const QUIET_PAUSE_PART = 0.45;
/**
 * Part of the latency target that may pass before the first event: prompts that other hosts sent a
 * moment ago may have to be read first, which this host has not been told yet.
 */
const FIRST_PART = 0.35;
/** How many times its own longest pause a stream may rest before that. */
const OWN_PAUSE_TIMES = 2;

/** The shortest silence that can be too long, in ms; Infinity if none is. Nobody has to look before. */
function shortestMs(route: CallRoute): number {
  if (route.kind === CallKind.SAFE) return safeTimeOf(route);
  if (!isContinued(route)) return Infinity;
  return pauseTargetOf(route) * QUIET_PAUSE_PART;
}

/**
 * Whether an attempt has been without progress for so long that the call is better served by another
 * runner. Never for calls that may run once only.
 */
function isTooSilent(
  route: CallRoute,
  runner: Runner,
  progress: Progress,
): boolean {
  const {quietMs, longestPauseMs, hasEvents, expectedMs} = progress;
  if (route.kind === CallKind.SAFE)
    return (
      quietMs > Math.max(safeTimeOf(route), runner.usualFirstMs * USUAL_TIMES)
    );
  if (!isContinued(route)) return false;
  const pauseMs = pauseTargetOf(route);
  if (hasEvents && quietMs > pauseMs * PAUSE_PART) return true;
  if (!runner.isQuiet) return false;
  const allowedMs = hasEvents
    ? longestPauseMs * OWN_PAUSE_TIMES
    : expectedMs * EXPECTED_TIMES;
  const firstMs = hasEvents ? 0 : route.latencyTargetMs * FIRST_PART;
  const leastMs = Math.max(pauseMs * QUIET_PAUSE_PART, firstMs);
  return quietMs > Math.max(leastMs, allowedMs);
}

/** Time after which a safe call is better asked of another runner, in ms. */
function safeTimeOf({latencyTargetMs}: CallRoute): number {
  return latencyTargetMs * SAFE_PART;
}

/** Whether calls of the route are streams that another runner can continue. */
function isContinued({kind}: CallRoute): boolean {
  return isStreamed(kind) && kind !== CallKind.STREAM;
}

/** The pause target that is reckoned with, in ms. */
function pauseTargetOf({pauseTargetMs}: CallRoute): number {
  return Math.max(MIN_PAUSE_MS, pauseTargetMs);
}

/** When a runner that sends nothing is given up for another one. */
export const silenceRule = {shortestMs, isTooSilent};
