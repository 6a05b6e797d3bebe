import {hashBits} from './hash_bits.js';

/** How many values 32 bits have. */
const RANGE = 2 ** 32;

/** A number in [0, 1) that is the same for the same text on every host. */
export function hashText(text: string): number {
  return hashBits(text) / RANGE;
}
