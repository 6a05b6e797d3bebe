import {createHash} from 'node:crypto';

const HASH_LENGTH = 8;

/** A short name for a part of a digest, equal for equal parts. */
export function hashDigestPart(part: unknown): string {
  return createHash('md5')
    .update(JSON.stringify(part))
    .digest('base64url')
    .slice(0, HASH_LENGTH);
}
