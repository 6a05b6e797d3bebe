import type {PromptPart} from './prompt_part.js';

/** Size and parts of a call's prompt. */
export interface Prompt {
  /** Length of the prompt in tokens. */
  readonly tokens: number;
  /** In order; the last one belongs to this call or its session alone. */
  readonly parts: readonly PromptPart[];
}
