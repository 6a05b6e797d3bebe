import type {PartKeysByRunner} from '../runners/part_keys_by_runner.js';

/** Keys in a sum at most: some 5 KB, of what one host of a place answers another. */
const MAX_KEYS = 512;

/** The parts of several digests together; what comes first goes first where there are too many. */
export function mergePromptParts(
  all: readonly PartKeysByRunner[],
): PartKeysByRunner {
  const parts: Record<string, number[]> = {};
  let left = MAX_KEYS;
  for (const news of all) {
    for (const [runner, keys] of Object.entries(news)) {
      const taken = keys.slice(0, left);
      left -= taken.length;
      if (taken.length > 0) (parts[runner] ??= []).push(...taken);
    }
  }
  return parts;
}
