import {hashToUint32} from './hash_to_uint32.js';

/** How many values 32 bits have. */
const UINT32_RANGE = 2 ** 32;

/** A number in [0, 1) that is the same for the same text on every host. */
export function hashToFraction(text: string): number {
  return hashToUint32(text) / UINT32_RANGE;
}
