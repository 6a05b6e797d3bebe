import {mixBits} from './mix_bits.js';

/** Offset basis and prime of 32-bit FNV-1a. */
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Hashes a text to 32 bits; the same on every host (FNV-1a followed by `mixBits`). */
export function hashToUint32(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    hash ^= text.charCodeAt(i);
    hash = Math.imul(hash, FNV_PRIME);
  }
  return mixBits(hash);
}
