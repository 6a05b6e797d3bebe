import type {Usage, Version} from '@bayspool/decisions';

/** One model's try at a request, and what it came to so far. */
export interface CascadeLeg {
  readonly version: Version;
  /** The id by which the leg is rated. */
  readonly ratingId: string;
  text: string;
  tokens: number;
  usage: Usage | undefined;
  /** Whether a runner can have begun any of its attempts. */
  mayHaveRun: boolean;
}
