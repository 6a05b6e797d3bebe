import type {ProblemKind} from './problem_kind.js';

interface Options {
  readonly kind: ProblemKind;
  /** What went wrong, without a full stop. */
  readonly what: string;
  /** What the reader can do about it, without a full stop. */
  readonly remedy: string;
  /** When to come back, in ms, if trying again can help. */
  readonly retryAfterMs?: number;
  readonly cause?: unknown;
}

/** A typed failure whose message names the remedy. */
export class Problem extends Error {
  readonly kind: ProblemKind;
  readonly remedy: string;
  readonly retryAfterMs: number | undefined;

  constructor(options: Options) {
    super(`${options.what}; ${options.remedy}`, {cause: options.cause});
    this.name = 'Problem';
    this.kind = options.kind;
    this.remedy = options.remedy;
    this.retryAfterMs = options.retryAfterMs;
  }
}
