import type {Prompt} from '@bayspool/decisions/calls';

/** Counts the tokens of a prompt's parts that other requests may share: all but the last part. */
export function countSharedTokens({parts}: Prompt): number {
  return parts.slice(0, -1).reduce((sum, {tokens}) => sum + tokens, 0);
}
