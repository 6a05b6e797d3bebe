import type {PromptPart} from './prompt_part.js';

/** Size and parts of a call's prompt. */
export interface Prompt {
  /** Length of the prompt in tokens. */
  readonly tokens: number;
  /** Maximum of output tokens; undefined if the caller stated none. */
  readonly maxOutputTokens?: number;
  /** The caller's estimate of the output tokens; undefined if it stated none. */
  readonly lengthHint?: number;
  /** In order; the last one belongs to this call or its session alone. */
  readonly parts: readonly PromptPart[];
}
