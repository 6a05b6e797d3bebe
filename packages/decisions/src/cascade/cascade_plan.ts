import type {Version} from '../configuration/version.js';

/** The versions to try, in order. The answer of every leg but the last is held back until it is rated. */
export interface CascadePlan {
  readonly legs: readonly Version[];
}
