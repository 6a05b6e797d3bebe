import {createHash} from 'node:crypto';
import stringify from 'safe-stable-stringify';
import type {Configuration} from './configuration.js';

/** Computes the SHA-256 of the canonical JSON of a state, in hex; equal states have equal digests on all hosts. */
export function computeStateDigest(state: Configuration): string {
  return createHash('sha256')
    .update(stringify(state) as string)
    .digest('hex');
}
