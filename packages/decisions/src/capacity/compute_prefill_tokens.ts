/**
 * Length of a prompt at which attention takes as long as the rest of the model, in tokens: about twelve times the width of
 * a model, so that of models some 5,000 wide.
 */
const ATTENTION_PARITY_TOKENS = 65_536;

/**
 * Computes the prefill work of a prompt in tokens of a short prompt: each token also attends to all tokens before it,
 * cached or not, so that the work of long prompts grows faster than their length.
 *
 * @param unreadTokens tokens at the end of the prompt that are not cached
 * @param promptTokens length of the prompt
 */
export function computePrefillTokens(
  unreadTokens: number,
  promptTokens: number,
): number {
  const attendedTokens = 2 * promptTokens - unreadTokens;
  return unreadTokens * (1 + attendedTokens / ATTENTION_PARITY_TOKENS);
}
