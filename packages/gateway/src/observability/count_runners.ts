import type {MetricSample} from './metric_sample.js';
import type {Runner} from '../runners/runner.js';

/** Counts the runners of each service by state; a runner counts under the first state that applies. */
export function countRunners(runners: readonly Runner[]): MetricSample[] {
  const counts = new Map<string, {service: string; state: string; n: number}>();
  for (const runner of runners) {
    const {service} = runner.entry;
    const state = getState(runner);
    const key = `${service}/${state}`;
    const count = counts.get(key) ?? {service, state, n: 0};
    count.n += 1;
    counts.set(key, count);
  }
  return [...counts.values()].map(({service, state, n}) => ({
    labels: {service, state},
    value: n,
  }));
}

function getState(runner: Runner): string {
  if (runner.isReplaced) return 'replaced';
  if (runner.entry.isDraining || runner.availability.isLeaving)
    return 'leaving';
  if (runner.availability.restLeftMs > 0) return 'resting';
  if (runner.health.isEjected) return 'ejected';
  if (runner.isCold) return 'cold';
  return runner.isQuiet ? 'quiet' : 'ready';
}
