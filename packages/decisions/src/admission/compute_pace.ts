import type {ServiceCapacity} from '../capacity/service_capacity.js';

/**
 * Requests in flight that pacing aims at, as a multiple of the slots. With more, calls would wait at the runners, in an
 * order that can't be changed; chance and stale figures already make some wait.
 */
const TARGET_FILL = 1;
/** Time over which a deviation of all hosts' requests is corrected, in ms: several times their usual age. */
const ALL_CORRECTION_MS = 3_000;
/** The same for this host's own requests, whose number is never stale: several times the duration of a call. */
const OWN_CORRECTION_MS = 600;
const MIN_PACE = 0;
const MAX_PACE = 2;

interface Options {
  readonly capacity: ServiceCapacity;
  /** Part of the capacity that this host takes, 0 to 1. */
  readonly hostShare: number;
  /** Requests of this host in flight. */
  readonly ownRunning: number;
}

/**
 * Computes the work to send per ms over this host's part of what runners can finish. It responds to the requests in
 * flight: more than the target slow it down, fewer speed it up. The own ones are compared with this host's part of the
 * slots, and correct it quickly; those of all hosts are older, and correct it slowly.
 */
export function computePace({
  capacity: {slots, running, backlogMs, workPerMs},
  hostShare,
  ownRunning,
}: Options): number {
  if (running === 0 || workPerMs === 0 || hostShare === 0) return 1;
  const meanMs = backlogMs / running;
  const target = slots * TARGET_FILL;
  const missing = (target - running) / ALL_CORRECTION_MS;
  const ownMissing = target * hostShare - ownRunning;
  const ownPart = ownMissing / hostShare / OWN_CORRECTION_MS;
  const pace = 1 + ((missing + ownPart) * meanMs) / workPerMs;
  return Math.min(MAX_PACE, Math.max(MIN_PACE, pace));
}
