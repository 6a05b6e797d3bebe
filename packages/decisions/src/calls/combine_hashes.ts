import {mixBits} from './mix_bits.js';

/** The golden ratio in 32 bits, by which the name is told from the key. */
const GOLDEN_RATIO = 0x9e3779b1;

/**
 * 32 bits that are the same for the same two hashes on every host: the score of a name for a key in rendezvous
 * hashing, from the hashes of both, so that a name is hashed once and not for each key.
 */
export function combineHashes(key: number, name: number): number {
  return mixBits(key ^ Math.imul(name, GOLDEN_RATIO));
}
