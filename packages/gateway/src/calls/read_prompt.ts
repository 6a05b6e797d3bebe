import type {Prompt, PromptPart} from '@bayspool/decisions/calls';

/**
 * Reads a prompt's size and parts, and the length of its response, from three headers.
 *
 * @param size tokens of the prompt and maximum tokens of the response, `1460,80`
 * @param parts ID:TOKENS of each part, separated by commas
 * @param hint the caller's estimate of the tokens of the response
 */
export function readPrompt(
  size: string | undefined,
  parts: string | undefined,
  hint?: string,
): Prompt | undefined {
  if (size === undefined) return undefined;
  const [tokens, maxOutputTokens] = size.split(',').map(Number);
  if (!isPositive(tokens)) return undefined;
  const lengthHint = Number(hint);
  return {
    tokens,
    maxOutputTokens: isPositive(maxOutputTokens) ? maxOutputTokens : undefined,
    lengthHint: isPositive(lengthHint) ? lengthHint : undefined,
    parts: (parts ?? '').split(',').flatMap(readPart),
  };
}

function isPositive(count: number): boolean {
  return Number.isFinite(count) && count > 0;
}

function readPart(text: string): PromptPart[] {
  const [id, tokens] = text.trim().split(':');
  const count = Number(tokens);
  return id && Number.isFinite(count) ? [{id, tokens: count}] : [];
}
