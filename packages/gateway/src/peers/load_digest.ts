import type {DemandDigest} from '@bayspool/decisions/admission';
import type {RolloutDigest} from '../rollouts/rollout_digest.js';
import type {SpeedSum} from '@bayspool/decisions/capacity';
import type {PartKeysByRunner} from '../runners/part_keys_by_runner.js';
import type {
  PartQuarantineDigest,
  QuarantineDigest,
} from '@bayspool/decisions/calls';

/** Load that one host, or all hosts of a place together, put on the runners, and the outcomes that they observed. */
export interface LoadDigest {
  /** Running requests, pending prefill time in ms, successes and failures, by runner incarnation. */
  readonly runners: Readonly<
    Record<string, readonly [number, number, number, number]>
  >;
  readonly rollouts: Readonly<Record<string, RolloutDigest>>;
  /** Calls and retries of the last window, by service; hosts of an earlier version send none. */
  readonly retries?: Readonly<Record<string, readonly [number, number]>>;
  /** Samples of the speed of runners whose slowness is not 1, by runner incarnation; earlier versions send none. */
  readonly speeds?: Readonly<Record<string, SpeedSum>>;
  /** What callers ask of each service; earlier versions send none. */
  readonly demand?: Readonly<Record<string, DemandDigest>>;
  /** Keys of prompt parts that runners processed recently; hosts of an earlier version send none. */
  readonly parts?: PartKeysByRunner;
  /** Requests during which runners crashed; hosts of an earlier version send none. */
  readonly quarantine?: QuarantineDigest;
  /** Parts of prompts on which runners crashed; hosts of an earlier version send none. */
  readonly partQuarantine?: PartQuarantineDigest;
}
