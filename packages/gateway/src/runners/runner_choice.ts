import type {Runner} from './runner.js';

/** The runner chosen, and what decided. */
export interface RunnerChoice {
  readonly runner: Runner;
  /** Expected reading time of what the runner does not keep of the prompt, in ms. */
  readonly workMs: number;
  /** Tokens that it has to read. */
  readonly unreadTokens: number;
  /** Work that the runner had before, in ms. */
  readonly waitMs: number;
  /** Runners that were looked at and passed over as not sound. */
  readonly ejected: number;
  readonly reason: string;
}
