import type {PlaceDigest} from './place_digest.js';

/** How many hosts of a place have the configuration at `offset` or a later one in force. */
export function countHostsAtOffset(
  digest: PlaceDigest,
  offset: number,
): number {
  return Object.entries(digest.sums.offsets)
    .filter(([own]) => Number(own) >= offset)
    .reduce((sum, [, count]) => sum + count, 0);
}
