/** Factors of MurmurHash3's final mix, and the golden ratio in 32 bits, which parts the two numbers. */
const GOLDEN = 0x9e3779b1;
const MIX_A = 0x85ebca6b;
const MIX_B = 0xc2b2ae35;

/**
 * A number of 32 bits that is the same for the same two numbers on every host: the score of a name for a key in
 * rendezvous hashing, from the hashes of both, so that a name is hashed once and not for each key.
 */
export function mixHashes(key: number, name: number): number {
  let hash = key ^ Math.imul(name, GOLDEN);
  hash = Math.imul(hash ^ (hash >>> 16), MIX_A);
  hash = Math.imul(hash ^ (hash >>> 13), MIX_B);
  return (hash ^ (hash >>> 16)) >>> 0;
}
