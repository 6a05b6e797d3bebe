/** Factors of the final mix of MurmurHash3. */
const MIX_A = 0x85ebca6b;
const MIX_B = 0xc2b2ae35;

/** Spreads each bit of a number over all 32 of the result, which is not negative (final mix of MurmurHash3). */
export function mixBits(bits: number): number {
  let mixed = Math.imul(bits ^ (bits >>> 16), MIX_A);
  mixed = Math.imul(mixed ^ (mixed >>> 13), MIX_B);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
