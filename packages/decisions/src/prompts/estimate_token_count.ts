const CHARACTERS_PER_TOKEN = 4;

/** A rough count of a text's tokens, for predictions only. */
export function estimateTokenCount(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}
