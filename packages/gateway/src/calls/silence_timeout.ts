import {CallKind, isStreamed} from '@bayspool/decisions/calls';
import type {CallRoute} from '@bayspool/decisions/calls';
import type {Runner} from '../runners/runner.js';

interface AttemptActivity {
  /** Time since this attempt last got anything, or was sent, in ms. */
  readonly quietMs: number;
  /** The longest pause between two events so far, in ms. */
  readonly longestPauseMs: number;
  readonly hasEvents: boolean;
  /** Expected time to the first event when it was sent, in ms. */
  readonly expectedMs: number;
}

/** Part of a safe call's latency target after which another runner is asked. */
const SAFE_TARGET_SHARE = 0.6;
/** How many times a runner's usual time it may take all the same. */
const USUAL_LATENCY_FACTOR = 2.5;
/** Shortest pause target that is reckoned with, in ms. */
const MIN_PAUSE_TARGET_MS = 800;
/** How many times the expected time to the first event may pass in silence. */
const EXPECTED_LATENCY_FACTOR = 3;
/** Part of the pause target after which a stream is continued elsewhere in any case. */
const PAUSE_TARGET_SHARE = 0.9;
/**
 * The same where the runner sends nothing on any connection: what is left of the target has to do for
 * a new connection and for reading the prompt.
 */
const SILENT_RUNNER_PAUSE_SHARE = 0.45;
/**
 * Part of the latency target that may pass before the first event: prompts that other hosts sent a
 * moment ago may have to be read first, which this host has not been told yet.
 */
const FIRST_EVENT_TARGET_SHARE = 0.35;
/** How many times its own longest pause a stream may rest before that. */
const LONGEST_PAUSE_FACTOR = 2;

/** The shortest silence that can be too long, in ms; Infinity if none is. Nobody has to look before. */
function shortestMs(route: CallRoute): number {
  if (route.kind === CallKind.SAFE) return safeTimeoutMs(route);
  if (!isResumable(route)) return Infinity;
  return effectivePauseTargetMs(route) * SILENT_RUNNER_PAUSE_SHARE;
}

/**
 * Whether an attempt has been without progress for so long that the call is better served by another
 * runner. Never for calls that may run once only.
 */
function hasExpired(
  route: CallRoute,
  runner: Runner,
  progress: AttemptActivity,
): boolean {
  const {quietMs, longestPauseMs, hasEvents, expectedMs} = progress;
  if (route.kind === CallKind.SAFE)
    return (
      quietMs >
      Math.max(
        safeTimeoutMs(route),
        runner.usualFirstByteMs * USUAL_LATENCY_FACTOR,
      )
    );
  if (!isResumable(route)) return false;
  const pauseMs = effectivePauseTargetMs(route);
  if (hasEvents && quietMs > pauseMs * PAUSE_TARGET_SHARE) return true;
  if (!runner.isQuiet) return false;
  const allowedMs = hasEvents
    ? longestPauseMs * LONGEST_PAUSE_FACTOR
    : expectedMs * EXPECTED_LATENCY_FACTOR;
  const firstMs = hasEvents
    ? 0
    : route.latencyTargetMs * FIRST_EVENT_TARGET_SHARE;
  const leastMs = Math.max(pauseMs * SILENT_RUNNER_PAUSE_SHARE, firstMs);
  return quietMs > Math.max(leastMs, allowedMs);
}

/** Time after which a safe call is better asked of another runner, in ms. */
function safeTimeoutMs({latencyTargetMs}: CallRoute): number {
  return latencyTargetMs * SAFE_TARGET_SHARE;
}

/** Whether calls of the route are streams that another runner can continue. */
function isResumable({kind}: CallRoute): boolean {
  return isStreamed(kind) && kind !== CallKind.STREAM;
}

/** The pause target that is reckoned with, in ms. */
function effectivePauseTargetMs({pauseTargetMs}: CallRoute): number {
  return Math.max(MIN_PAUSE_TARGET_MS, pauseTargetMs);
}

/** When a runner that sends nothing is given up for another one. */
export const silenceTimeout = {shortestMs, isTooSilent: hasExpired};
