import type {RunnerChoice} from '../runners/runner_choice.js';

/** Fixed part of the latency, besides prefill and queueing, in ms. */
const BASE_LATENCY_MS = 30;

/** Estimates the time to the first event, or to the complete response, at the chosen runner, in ms. */
export function estimateLatencyMs({workMs, waitMs}: RunnerChoice): number {
  return BASE_LATENCY_MS + workMs + waitMs;
}
