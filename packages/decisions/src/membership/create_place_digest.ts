import type {HostState} from './host_state.js';
import type {PlaceDigest} from './place_digest.js';
import {sumVersionRatings} from './sum_version_ratings.js';
import {sumByKey} from './sum_by_key.js';
import type {VersionRatings} from './version_ratings.js';

/** Creates a place's digest. The ratings include those of dead hosts, which are still valid. */
export function createPlaceDigest(
  place: string,
  alive: readonly HostState[],
  known: readonly HostState[],
): PlaceDigest {
  return {
    place,
    ageMs: 0,
    hosts: alive.map(({id, address, incarnation, boot, leaving}) => ({
      id,
      address,
      incarnation,
      boot,
      leaving,
    })),
    sums: {
      offsets: sumByKey(alive.map(({offset}) => ({[offset]: 1}))),
      running: sumByKey(alive.map(entry => entry.running)),
      demand: sumByKey(alive.map(entry => entry.demand)),
      evidence: sumRatingsByVersion(known),
      suspects: [...new Set(alive.flatMap(entry => entry.suspects))],
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
