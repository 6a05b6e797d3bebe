import type {CallNeed} from './call_need.js';

/** Whether a stopping host has the time for a run of a larger model. */
export interface EscalationRoom {
  /** What the run is expected to need. */
  readonly need: CallNeed;
  /** Time until open calls are aborted, in ms. */
  readonly leftMs: number;
  /** Whether the run may be begun: it is not known to take longer. */
  readonly isEnough: boolean;
}
