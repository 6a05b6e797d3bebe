import {createHash} from 'node:crypto';

/** Selects the `count` members with the highest random weight for `key`; all callers with the same members agree. */
export function selectByRendezvousHash(
  members: readonly string[],
  key: string,
  count: number,
): string[] {
  return members
    .map(member => ({member, weight: computeWeight(member, key)}))
    .sort((a, b) => b.weight - a.weight || a.member.localeCompare(b.member))
    .slice(0, count)
    .map(weighted => weighted.member);
}

function computeWeight(member: string, key: string): number {
  return createHash('md5')
    .update(`${key}\n${member}`)
    .digest()
    .readUIntBE(0, 6);
}
