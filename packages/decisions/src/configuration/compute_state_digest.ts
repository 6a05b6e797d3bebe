import {createHash} from 'node:crypto';
import stringify from 'safe-stable-stringify';
import type {Configuration} from './configuration.js';

/** SHA-256 over the canonical JSON of a state, in hex; equal states have equal digests on every host. */
export function computeStateDigest(state: Configuration): string {
  return createHash('sha256')
    .update(stringify(state) as string)
    .digest('hex');
}
