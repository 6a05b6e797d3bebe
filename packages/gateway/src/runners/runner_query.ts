import type {Prompt} from '@bayspool/decisions/calls';
import type {Runner} from './runner.js';

/** What a runner is sought for. */
export interface RunnerQuery {
  /** Those that may take the call. */
  readonly candidates: readonly Runner[];
  /** Runners tried before, which are taken only when nothing else is left. */
  readonly tried: ReadonlySet<string>;
  /** Size of the request's body. */
  readonly bodyBytes: number;
  readonly model?: string;
  readonly prompt?: Prompt;
}
