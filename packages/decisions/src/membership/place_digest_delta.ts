import {z} from 'zod';
import {HostSummary} from './host_summary.js';
import {PlaceSums} from './place_sums.js';

const MAX_HOSTS = 256;
const MAX_HASH_LENGTH = 16;

const placeDigestDelta = z.strictObject({
  place: z.string().max(64),
  /** Time since a relay of the place created the digest, in ms. */
  ageMs: z.int().min(0),
  hostsHash: z.string().max(MAX_HASH_LENGTH),
  sumsHash: z.string().max(MAX_HASH_LENGTH),
  /** Omitted when the receiver is known to have the part with this hash. */
  hosts: z.array(HostSummary).max(MAX_HOSTS).optional(),
  sums: PlaceSums.optional(),
});

/** A place's digest as hosts exchange it: parts that the receiver has are identified by their hash only. */
type PlaceDigestDelta = z.output<typeof placeDigestDelta>;
const PlaceDigestDelta = placeDigestDelta;

export {PlaceDigestDelta};
