import type {RolloutOrder} from '@bayspool/decisions/calls';

/** Returns the key of the record that holds when a rollout started. */
export function rolloutStartKey({service, offset}: RolloutOrder): string {
  return `rollout/${service}/${offset}`;
}
