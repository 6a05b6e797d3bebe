import type {Prompt} from '@bayspool/decisions/calls';
import type {Runner} from './runner.js';

/** The request for which a runner is chosen. */
export interface RunnerQuery {
  /** Runners that may take the call. */
  readonly candidates: readonly Runner[];
  /** Ids of runners already tried; they are chosen only if no other is left. */
  readonly tried: ReadonlySet<string>;
  /** Whether an untried runner that is unhealthy comes before a healthy one that has failed the call. */
  readonly prefersUntried?: boolean;
  /** Size of the request body. */
  readonly bodyBytes: number;
  readonly model?: string;
  readonly prompt?: Prompt;
  /** Name of the call's route, by which its work is estimated. */
  readonly route?: string;
  /** Memory of an engine that the call will take, in tokens. */
  readonly memoryTokens?: number;
}
