import type {HostState} from './host_state.js';
import type {PlaceDigest} from './place_digest.js';
import {sumVersionRatings} from './sum_version_ratings.js';
import {sumByKey} from './sum_by_key.js';
import type {VersionRatings} from './version_ratings.js';

/** Adds a place up. Evidence counts hosts that are gone as well: their ratings still stand. */
export function createPlaceDigest(
  place: string,
  living: readonly HostState[],
  known: readonly HostState[],
): PlaceDigest {
  return {
    place,
    ageMs: 0,
    hosts: living.map(({id, address, incarnation, boot, leaving}) => ({
      id,
      address,
      incarnation,
      boot,
      leaving,
    })),
    sums: {
      offsets: sumByKey(living.map(({offset}) => ({[offset]: 1}))),
      running: sumByKey(living.map(entry => entry.running)),
      demand: sumByKey(living.map(entry => entry.demand)),
      evidence: sumRatingsByVersion(known),
      suspects: [...new Set(living.flatMap(entry => entry.suspects))],
    },
  };
}

function sumRatingsByVersion(
  entries: readonly HostState[],
): Record<string, VersionRatings> {
  const versions = new Set(
    entries.flatMap(entry => Object.keys(entry.evidence)),
  );
  const sums = [...versions].map(version => {
    const all = entries
      .map(entry => entry.evidence[version])
      .filter(counts => counts !== undefined);
    return [version, sumVersionRatings(all)] as const;
  });
  return Object.fromEntries(
    sums.filter((sum): sum is [string, VersionRatings] => sum[1] !== undefined),
  );
}
