import {CallKind, isStreamed} from '@bayspool/decisions/calls';
import type {CallRoute} from '@bayspool/decisions/calls';
import type {Runner} from '../runners/runner.js';

interface Progress {
  /** Time since this attempt last got anything, or was sent, in ms. */
  readonly quietMs: number;
  /** Time since the runner sent anything to this host, in ms. */
  readonly runnerQuietMs: number;
  readonly hasEvents: boolean;
  /** Expected time to the first event when it was sent, in ms. */
  readonly expectedMs: number;
}

/** Part of a safe call's latency target after which another runner is asked. */
const SAFE_PART = 0.6;
/** How many times a runner's usual time it may take all the same. */
const USUAL_TIMES = 2.5;
/** Shortest silence of a runner that is taken as a failure, in ms: some steps of a full engine. */
const MIN_SILENCE_MS = 700;
/** How many times the expected time to the first event may pass in silence. */
const EXPECTED_TIMES = 3;
/** Part of the pause target after which a stream is continued elsewhere. */
const PAUSE_PART = 0.9;

/**
 * Whether an attempt has been without progress for so long that the call is better served by another
 * runner. Never for calls that may run once only.
 */
export function isTooSilent(
  route: CallRoute,
  runner: Runner,
  progress: Progress,
): boolean {
  const {quietMs, runnerQuietMs, hasEvents, expectedMs} = progress;
  if (route.kind === CallKind.SAFE)
    return (
      quietMs >
      Math.max(
        route.latencyTargetMs * SAFE_PART,
        runner.usualFirstMs * USUAL_TIMES,
      )
    );
  if (!isStreamed(route.kind) || route.kind === CallKind.STREAM) return false;
  const silenceMs = Math.max(MIN_SILENCE_MS, route.pauseTargetMs * PAUSE_PART);
  if (hasEvents) return quietMs > silenceMs;
  return (
    Math.min(quietMs, runnerQuietMs) > silenceMs + expectedMs * EXPECTED_TIMES
  );
}
