interface Options {
  /** Priority of the call's route; 0 is the most urgent. */
  readonly priority: number;
  /** The next less urgent priority in use at the engine; Infinity if there is none. */
  readonly nextPriority: number;
  /** Time that the call can wait and still be in time, in ms; negative if it is late. */
  readonly slackMs: number;
  readonly workMs: number;
}

/** Value of the priority header for the least urgent calls. */
const LEAST_URGENT = 9;
/** Slack and work of the most urgent level, in ms; each further level is twice as wide. */
const LEVEL_MS = 250;
/** Slack that outweighs a ms of work, in ms: the same as between calls that wait at a host. */
const DELAY_PER_WORK = 4;

/**
 * Refines the priority by which an engine orders its queue: within those of the route, calls with little slack and little
 * work go first, and those that are late last. It never reaches the priority of less urgent routes, so that it agrees
 * with hosts that don't refine.
 */
export function refinePriority({
  priority,
  nextPriority,
  slackMs,
  workMs,
}: Options): number {
  const base = Math.min(LEAST_URGENT, priority);
  const last = Math.max(base, Math.min(LEAST_URGENT, nextPriority - 1));
  if (slackMs < 0) return last;
  const waitMs = slackMs + workMs * DELAY_PER_WORK;
  const level = Math.floor(Math.log2(1 + waitMs / LEVEL_MS));
  return Math.min(last, base + level);
}
