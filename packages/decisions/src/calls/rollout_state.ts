import type {RolloutPhase} from './rollout_phase.js';

/** State of a rollout as recorded in the store. */
export interface RolloutState {
  readonly service: string;
  readonly version: string;
  readonly phase: RolloutPhase;
  /** Offset of the state in the store. */
  readonly offset: number;
}
