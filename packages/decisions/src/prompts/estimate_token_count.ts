const CHARACTERS_PER_TOKEN = 4;

/** Roughly estimates a text's token count, for predictions only. */
export function estimateTokenCount(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}
