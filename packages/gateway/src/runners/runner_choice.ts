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
  /** Number of runners that were considered and skipped as unhealthy. */
  readonly ejected: number;
  readonly reason: string;
}
