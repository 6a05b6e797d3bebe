import type {RolloutOrder} from '@bayspool/decisions/calls';

/** Key under which hosts note when a roll-out began. */
export function rolloutStartKey({service, offset}: RolloutOrder): string {
  return `rollout/${service}/${offset}`;
}
