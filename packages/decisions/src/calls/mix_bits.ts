/** Multipliers of the MurmurHash3 finalizer. */
const MIX_A = 0x85ebca6b;
const MIX_B = 0xc2b2ae35;

/**
 * Mixes each bit of a number into all 32 bits of the result, which is not negative (MurmurHash3
 * finalizer).
 */
export function mixBits(bits: number): number {
  let mixed = Math.imul(bits ^ (bits >>> 16), MIX_A);
  mixed = Math.imul(mixed ^ (mixed >>> 13), MIX_B);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
