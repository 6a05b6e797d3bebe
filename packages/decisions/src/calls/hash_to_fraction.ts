import {hashToUint32} from './hash_to_uint32.js';

/** Number of 32-bit values. */
const UINT32_RANGE = 2 ** 32;

/** Hashes a text to a number in [0, 1); the same on every host. */
export function hashToFraction(text: string): number {
  return hashToUint32(text) / UINT32_RANGE;
}
