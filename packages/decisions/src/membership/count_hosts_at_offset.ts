import type {PlaceDigest} from './place_digest.js';

/** Counts the hosts of a place at which the configuration at `offset` or a later one is in force. */
export function countHostsAtOffset(
  digest: PlaceDigest,
  offset: number,
): number {
  return Object.entries(digest.sums.offsets)
    .filter(([hostOffset]) => Number(hostOffset) >= offset)
    .reduce((sum, [, count]) => sum + count, 0);
}
