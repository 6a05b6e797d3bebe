import type {MetricSample} from './metric_sample.js';
import type {Rollout} from '../rollouts/rollout.js';

/** Outcomes that all hosts observed at the two versions of a rollout, as series of a metric. */
export function sampleRolloutOutcomes(rollout: Rollout): MetricSample[] {
  const {service} = rollout.order;
  const {fresh, old} = rollout.tallies;
  return Object.entries({new: fresh, old}).flatMap(([version, tally]) =>
    Object.entries(tally).map(([result, value]) => ({
      labels: {service, version, result},
      value: Number(value),
    })),
  );
}
