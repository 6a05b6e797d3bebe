import {hashText} from './hash_text.js';

/** The name that {@link rankByHash} puts first, without ordering the others. */
export function firstByHash(
  key: string,
  names: readonly string[],
): string | undefined {
  let first: string | undefined;
  let highest = -1;
  for (const name of names) {
    const score = hashText(`${key}|${name}`);
    if (score < highest) continue;
    if (score === highest && first !== undefined && first < name) continue;
    first = name;
    highest = score;
  }
  return first;
}
