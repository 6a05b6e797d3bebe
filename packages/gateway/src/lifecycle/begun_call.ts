import type {CallNeed} from './call_need.js';

/** A call that was sent to a runner or another host while this host was stopping. */
export interface BegunCall {
  /** What it was expected to need. */
  readonly need: CallNeed;
  /** Time that was left for it, in ms. */
  readonly leftMs: number;
  /** Time from the start of the shutdown until then, in ms. */
  readonly stoppingMs: number;
}
