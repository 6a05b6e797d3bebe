import type {Usage} from '@bayspool/decisions';

/** A usage in the OpenAI form. */
export function formatUsage(usage: Usage): object {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
  };
}
