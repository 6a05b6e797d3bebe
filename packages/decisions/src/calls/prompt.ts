import type {PromptPart} from './prompt_part.js';

/** The size and the parts of a call's prompt. */
export interface Prompt {
  /** Tokens to read. */
  readonly tokens: number;
  /** In order; the last one is the call's own or its session's. */
  readonly parts: readonly PromptPart[];
}
