import {createHash} from 'node:crypto';

/** Computes the SHA-256 of an access key in hex, the only form in which keys are configured and compared. */
export function hashAccessKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
