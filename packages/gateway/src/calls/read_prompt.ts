import type {Prompt, PromptPart} from '@bayspool/decisions/calls';

/**
 * Reads a prompt's size and parts from its two headers.
 *
 * @param size tokens of the prompt and maximum tokens of the response, `1460,80`
 * @param parts ID:TOKENS of each part, separated by commas
 */
export function readPrompt(
  size: string | undefined,
  parts: string | undefined,
): Prompt | undefined {
  if (size === undefined) return undefined;
  const [tokens] = size.split(',').map(Number);
  if (!Number.isFinite(tokens)) return undefined;
  return {
    tokens,
    parts: (parts ?? '').split(',').flatMap(readPart),
  };
}

function readPart(text: string): PromptPart[] {
  const [id, tokens] = text.trim().split(':');
  const count = Number(tokens);
  return id && Number.isFinite(count) ? [{id, tokens: count}] : [];
}
