import type {ShareSteps} from './share_steps.js';

/** The steps of several hosts together: a share holds from when the first of them says. */
export function mergeShareSteps(
  a: ShareSteps = {},
  b: ShareSteps = {},
): ShareSteps {
  const merged: Record<string, number> = {...a};
  for (const [share, fromMs] of Object.entries(b))
    merged[share] = Math.min(merged[share] ?? Infinity, fromMs);
  return merged;
}
