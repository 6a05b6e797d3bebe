import {createHash} from 'node:crypto';
import type {Prompt} from './prompt.js';

/**
 * Fingerprints the parts of a prompt that other requests may share, in order; the last part belongs
 * to its request or session alone. The workspace is included so that nobody can name a part that has
 * the fingerprint of another workspace's part.
 */
export function fingerprintPromptParts(
  prompt: Prompt | undefined,
  workspace = '',
): string[] {
  const shared = prompt?.parts.slice(0, -1) ?? [];
  return shared.map(({id}, depth) => {
    const name = JSON.stringify([workspace, depth, id]);
    return createHash('sha256').update(name).digest('base64url').slice(0, 22);
  });
}
