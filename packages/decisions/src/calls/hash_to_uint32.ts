import {mixBits} from './mix_bits.js';

/** Start value and prime of 32-bit FNV-1a. */
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** 32 bits that are the same for the same text on every host (FNV-1a, then mixed). */
export function hashToUint32(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    hash ^= text.charCodeAt(i);
    hash = Math.imul(hash, FNV_PRIME);
  }
  return mixBits(hash);
}
