import type {MetricSample} from './metric_sample.js';
import type {Runner} from '../runners/runner.js';

/** A runner's declared limit as a series of a metric; empty if it declares none. */
export function sampleDeclaredLimit({entry, limit}: Runner): MetricSample[] {
  if (limit.perSecond === undefined) return [];
  const {id: runner, service} = entry;
  return [{labels: {service, runner}, value: limit.perSecond}];
}
