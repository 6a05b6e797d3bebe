import type {PartKeysByRunner} from '../runners/part_keys_by_runner.js';

/** Maximum number of keys in a merged result: about 5 KB of a response between hosts of a place. */
const MAX_KEYS = 512;

/** Merges the prompt part keys of several digests; if there are too many, the first ones are kept. */
export function mergePromptParts(
  digests: readonly PartKeysByRunner[],
): PartKeysByRunner {
  const parts = new Map<string, number[]>();
  let left = MAX_KEYS;
  for (const digest of digests) {
    for (const [runner, keys] of Object.entries(digest)) {
      const taken = keys.slice(0, left);
      left -= taken.length;
      if (taken.length === 0) continue;
      const known = parts.get(runner);
      if (known) known.push(...taken);
      else parts.set(runner, [...taken]);
    }
  }
  return Object.fromEntries(parts);
}
