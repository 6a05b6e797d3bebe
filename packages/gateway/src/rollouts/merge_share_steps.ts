import type {ShareSteps} from './share_steps.js';

/** Merges the share steps of two hosts; a share takes effect at the earliest time that either host set for it. */
export function mergeShareSteps(
  a: ShareSteps = {},
  b: ShareSteps = {},
): ShareSteps {
  const merged: Record<string, number> = {...a};
  for (const [share, fromMs] of Object.entries(b))
    merged[share] = Math.min(merged[share] ?? Infinity, fromMs);
  return merged;
}
