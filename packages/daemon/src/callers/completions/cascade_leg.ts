import type {Usage, Version} from '@bayspool/decisions';

/** One leg of a cascade: a model's try at a request, and the answer so far. */
export interface CascadeLeg {
  readonly version: Version;
  /** The id under which the answer of the leg is rated. */
  readonly ratingId: string;
  text: string;
  tokens: number;
  usage: Usage | undefined;
  /** Whether a runner may have started any of its attempts. */
  mayHaveRun: boolean;
}
