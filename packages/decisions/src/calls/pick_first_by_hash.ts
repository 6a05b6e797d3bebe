import {hashToFraction} from './hash_to_fraction.js';

/** Picks the name that {@link rankByHash} ranks first, without sorting the others. */
export function pickFirstByHash(
  key: string,
  names: readonly string[],
): string | undefined {
  let first: string | undefined;
  let highest = -1;
  for (const name of names) {
    const score = hashToFraction(`${key}|${name}`);
    if (score < highest) continue;
    if (score === highest && first !== undefined && first < name) continue;
    first = name;
    highest = score;
  }
  return first;
}
