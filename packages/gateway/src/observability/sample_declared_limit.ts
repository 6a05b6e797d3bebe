import type {MetricSample} from './metric_sample.js';
import type {Runner} from '../runners/runner.js';

/** What a runner says it takes, as a metric; nothing where it names no limit. */
export function sampleDeclaredLimit({entry, limit}: Runner): MetricSample[] {
  if (limit.perSecond === undefined) return [];
  const {id: runner, service} = entry;
  return [{labels: {service, runner}, value: limit.perSecond}];
}
