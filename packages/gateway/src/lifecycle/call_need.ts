import type {NeedBasis} from './need_basis.js';

/** Time that a stopping host expects a call to need. */
export interface CallNeed {
  /** Time to the end of the response, or of the call's time limit if that is earlier, in ms. */
  readonly needMs: number;
  readonly basis: NeedBasis;
}
