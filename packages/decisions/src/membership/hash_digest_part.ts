import {createHash} from 'node:crypto';

const HASH_LENGTH = 8;

/** Computes a short hash of a part of a digest; equal parts have equal hashes. */
export function hashDigestPart(part: unknown): string {
  return createHash('md5')
    .update(JSON.stringify(part))
    .digest('base64url')
    .slice(0, HASH_LENGTH);
}
