import type {RunnerChoice} from '../runners/runner_choice.js';

/** Fixed part of the time to a first event or answer, in ms, beside reading and waiting. */
const BASE_LATENCY_MS = 30;

/** Expected time to the first event or the whole answer at the runner chosen, in ms. */
export function estimateLatencyMs({workMs, waitMs}: RunnerChoice): number {
  return BASE_LATENCY_MS + workMs + waitMs;
}
