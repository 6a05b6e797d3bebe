import type {SpeedExpectation} from '@bayspool/decisions/capacity';
import type {HeldWork} from './held_work.js';
import type {Runner} from './runner.js';

/** A chosen runner and the figures behind the choice. */
export interface RunnerChoice {
  readonly runner: Runner;
  /** Expected prefill time of the part of the prompt that is not in the runner's prefix cache, in ms. */
  readonly workMs: number;
  /** Prompt tokens that are not in the runner's prefix cache. */
  readonly unreadTokens: number;
  /** Expected wait for the work that the runner already has, in ms. */
  readonly waitMs: number;
  /** What the call takes up at the runner until it ends. */
  readonly held?: HeldWork;
  /** Expected time to the first event or whole response; absent if nothing is known of the call's work. */
  readonly expectation?: SpeedExpectation;
  /** Slowness of the runner by which it was chosen; 1 is nominal. */
  readonly slowness?: number;
  /** Number of runners that were considered and skipped as unhealthy. */
  readonly ejected: number;
  readonly reason: string;
}
