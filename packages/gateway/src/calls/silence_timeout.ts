import {CallKind, isStreamed} from '@bayspool/decisions/calls';
import type {CallRoute} from '@bayspool/decisions/calls';
import type {Runner} from '../runners/runner.js';

interface AttemptActivity {
  /** Time since the attempt last received anything, or since it was sent, in ms. */
  readonly silentMs: number;
  /** Longest pause between two events so far, in ms. */
  readonly longestPauseMs: number;
  /** Whether the attempt has relayed events, or has begun one that takes too long. */
  readonly hasEvents: boolean;
  /** Expected time to the first event, in ms. */
  readonly expectedLatencyMs: number;
  /** Time that the runner's pending prefill work takes, during which running streams get hardly any event, in ms. */
  readonly expectedStallMs: number;
}

/** Share of a safe call's latency target after which another runner is tried. */
const SAFE_TARGET_SHARE = 0.6;
/** A safe call may take this many times its runner's usual latency in any case. */
const USUAL_LATENCY_FACTOR = 2.5;
/** Lower bound of the pause target, in ms. */
const MIN_PAUSE_TARGET_MS = 800;
/** The first event of a silent runner may take this many times its expected latency. */
const EXPECTED_LATENCY_FACTOR = 3;
/** Share of the pause target after which a stream is always continued at another runner. */
const PAUSE_TARGET_SHARE = 0.9;
/**
 * The same share if the runner sends nothing on any connection: the rest of the target has to
 * suffice for a new connection and for processing the prompt.
 */
const SILENT_RUNNER_PAUSE_SHARE = 0.45;
/**
 * Share of the latency target that may pass before the first event: the runner may first have to
 * process prompts that other hosts sent a moment ago, and which this host doesn't know about yet.
 */
const FIRST_EVENT_TARGET_SHARE = 0.35;
/** A stream of a silent runner may pause for this many times its own longest pause. */
const LONGEST_PAUSE_FACTOR = 2;

/**
 * Returns the shortest silence that can exceed the timeout, in ms; Infinity if there is no timeout.
 * No check is needed before.
 */
function shortestMs(route: CallRoute): number {
  if (route.kind === CallKind.SAFE) return safeTimeoutMs(route);
  if (!isResumable(route)) return Infinity;
  return effectivePauseTargetMs(route) * SILENT_RUNNER_PAUSE_SHARE;
}

/**
 * Whether an attempt has made no progress for so long that another runner should take the call.
 * Never the case for calls that may run only once.
 */
function hasExpired(
  route: CallRoute,
  runner: Runner,
  progress: AttemptActivity,
): boolean {
  const {silentMs, longestPauseMs, hasEvents} = progress;
  const {expectedLatencyMs, expectedStallMs} = progress;
  if (route.kind === CallKind.SAFE)
    return (
      silentMs >
      Math.max(
        safeTimeoutMs(route),
        runner.usualFirstByteMs * USUAL_LATENCY_FACTOR,
      )
    );
  if (!isResumable(route)) return false;
  const pauseMs = effectivePauseTargetMs(route);
  if (hasEvents && silentMs > pauseMs * PAUSE_TARGET_SHARE) return true;
  if (!runner.isQuiet) return false;
  const allowedMs = hasEvents
    ? Math.max(longestPauseMs * LONGEST_PAUSE_FACTOR, expectedStallMs)
    : expectedLatencyMs * EXPECTED_LATENCY_FACTOR;
  const firstMs = hasEvents
    ? 0
    : route.latencyTargetMs * FIRST_EVENT_TARGET_SHARE;
  const leastMs = Math.max(pauseMs * SILENT_RUNNER_PAUSE_SHARE, firstMs);
  return silentMs > Math.max(leastMs, allowedMs);
}

/** Time after which a safe call should be sent to another runner, in ms. */
function safeTimeoutMs({latencyTargetMs}: CallRoute): number {
  return latencyTargetMs * SAFE_TARGET_SHARE;
}

/** Whether calls of the route are streams that another runner can resume. */
function isResumable({kind}: CallRoute): boolean {
  return isStreamed(kind) && kind !== CallKind.STREAM;
}

/** Pause target with its lower bound applied, in ms. */
function effectivePauseTargetMs({pauseTargetMs}: CallRoute): number {
  return Math.max(MIN_PAUSE_TARGET_MS, pauseTargetMs);
}

/** Decides when an attempt at a runner that sends nothing is given up in favour of another runner. */
export const silenceTimeout = {shortestMs, hasExpired};
