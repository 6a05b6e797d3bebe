/** Start value and prime of 32-bit FNV-1a. */
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
/** Factors of the final mix of MurmurHash3. */
const MIX_A = 0x85ebca6b;
const MIX_B = 0xc2b2ae35;
/** How many values 32 bits have. */
const RANGE = 2 ** 32;

/** A number in [0, 1) that is the same for the same text on every host (FNV-1a, then mixed). */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    hash ^= text.charCodeAt(i);
    hash = Math.imul(hash, FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), MIX_A);
  hash = Math.imul(hash ^ (hash >>> 13), MIX_B);
  hash ^= hash >>> 16;
  return (hash >>> 0) / RANGE;
}
