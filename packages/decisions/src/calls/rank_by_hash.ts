import {hashToFraction} from './hash_to_fraction.js';

/** Ranks names for a key by rendezvous hashing, so that all hosts agree without communication. */
export function rankByHash(key: string, names: readonly string[]): string[] {
  return names
    .map(name => ({name, score: hashToFraction(`${key}|${name}`)}))
    .sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))
    .map(({name}) => name);
}
