import type {RolloutPhase} from './rollout_phase.js';

/** What the store says of a roll-out. */
export interface RolloutState {
  readonly service: string;
  readonly version: string;
  readonly phase: RolloutPhase;
  /** Where the state stands in the store. */
  readonly offset: number;
}
