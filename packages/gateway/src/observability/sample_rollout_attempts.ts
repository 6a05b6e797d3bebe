import type {MetricSample} from './metric_sample.js';
import type {Rollout} from '../rollouts/rollout.js';

/** Attempts that all hosts made at the two versions of a rollout, as series of a metric. */
export function sampleRolloutAttempts({order, sent}: Rollout): MetricSample[] {
  const {service} = order;
  return [
    {labels: {service, version: 'new'}, value: sent.fresh},
    {labels: {service, version: 'old'}, value: sent.old},
  ];
}
