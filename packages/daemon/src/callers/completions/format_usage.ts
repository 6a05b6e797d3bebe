import type {Usage} from '@bayspool/decisions';

/** Formats a usage in the OpenAI format. */
export function formatUsage(usage: Usage): object {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
  };
}
