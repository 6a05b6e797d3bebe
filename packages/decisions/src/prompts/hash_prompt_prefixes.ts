import {createHash} from 'node:crypto';

const BLOCK_CHARACTERS = 1_024;
const MAX_BLOCKS = 64;
const HASH_LENGTH = 16;

/**
 * Hashes the prefixes of a prompt, shortest first: one for each full block of 1,024 characters. Equal
 * prefixes have equal hashes, so an engine's cache events can be matched without exchanging text.
 */
export function hashPromptPrefixes(version: string, prompt: string): string[] {
  const blocks = Math.min(
    MAX_BLOCKS,
    Math.floor(prompt.length / BLOCK_CHARACTERS),
  );
  const hash = createHash('sha256').update(version);
  const hashes: string[] = [];
  for (let block = 0; block < blocks; block++) {
    hash.update(
      prompt.slice(block * BLOCK_CHARACTERS, (block + 1) * BLOCK_CHARACTERS),
    );
    hashes.push(hash.copy().digest('hex').slice(0, HASH_LENGTH));
  }
  return hashes;
}
