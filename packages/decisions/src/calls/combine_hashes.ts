import {mixBits} from './mix_bits.js';

/** The golden ratio in 32 bits; multiplying by it makes the roles of key and name differ. */
const GOLDEN_RATIO = 0x9e3779b1;

/**
 * Combines the hashes of a key and a name to the 32-bit score of the name for the key in rendezvous
 * hashing. The result is the same on every host, and each name is hashed once instead of once per
 * key.
 */
export function combineHashes(key: number, name: number): number {
  return mixBits(key ^ Math.imul(name, GOLDEN_RATIO));
}
