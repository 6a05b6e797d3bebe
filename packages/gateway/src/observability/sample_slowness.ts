import type {MetricSample} from './metric_sample.js';
import type {Runner} from '../runners/runner.js';

/** A runner's slowness as a series of a metric; empty if its speed is nominal. */
export function sampleSlowness({entry, slowness}: Runner): MetricSample[] {
  if (slowness === 1) return [];
  const {id: runner, service} = entry;
  return [{labels: {service, runner}, value: slowness}];
}
