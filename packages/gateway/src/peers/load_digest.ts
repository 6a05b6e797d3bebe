import type {RolloutDigest} from '../rollouts/rollout_digest.js';
import type {PartKeysByRunner} from '../runners/part_keys_by_runner.js';
import type {QuarantineDigest} from '@bayspool/decisions/calls';

/** What one host, or the hosts of a place together, have at the runners and saw of them. */
export interface LoadDigest {
  /** Running, pending ms, ok and failed by runner. */
  readonly runners: Readonly<
    Record<string, readonly [number, number, number, number]>
  >;
  readonly rollouts: Readonly<Record<string, RolloutDigest>>;
  /** Parts of prompts that runners read lately; hosts of an earlier version tell none. */
  readonly parts?: PartKeysByRunner;
  /** Requests under which runners ended; hosts of an earlier version tell none. */
  readonly quarantine?: QuarantineDigest;
}
