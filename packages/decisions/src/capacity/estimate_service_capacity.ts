import type {RunnerCapacity} from './runner_capacity.js';
import type {ServiceCapacity} from './service_capacity.js';

interface Options {
  readonly runners: readonly RunnerCapacity[];
  /** Age of the figures of other hosts, in ms; Infinity if there are none. */
  readonly ageMs: number;
}

const MS_PER_SECOND = 1_000;

/** Sums what the usable runners of a service can take. It responds to their speed, to their load and to bounds. */
export function estimateServiceCapacity({
  runners,
  ageMs,
}: Options): ServiceCapacity {
  let slots = 0;
  let running = 0;
  let backlogMs = 0;
  let workPerMs = 0;
  for (const runner of runners) {
    if (!runner.isUsable) continue;
    const effectiveSlots = runner.slots / runner.slowness;
    const boundPerMs = computeBoundPerMs(runner);
    slots += Math.min(effectiveSlots, boundPerMs);
    workPerMs += Math.min(effectiveSlots, boundPerMs);
    running += runner.running;
    backlogMs += runner.backlogMs;
  }
  return {slots, running, backlogMs, workPerMs, ageMs};
}

/** Work per ms that the runner's bound allows; Infinity without a bound, or if the work of a call is unknown. */
function computeBoundPerMs({
  maxCallsPerSecond,
  meanWorkMs,
}: RunnerCapacity): number {
  if (maxCallsPerSecond === undefined || meanWorkMs === 0) return Infinity;
  return (maxCallsPerSecond * meanWorkMs) / MS_PER_SECOND;
}
