import {z} from 'zod';
import {VersionRatings} from './version_ratings.js';

const placeSums = z.strictObject({
  /** How many hosts have each configuration offset in force. */
  offsets: z.record(z.string(), z.int()),
  /** Sums over the place's hosts, as in `HostEntry`. */
  running: z.record(z.string(), z.int()),
  demand: z.record(z.string(), z.number()),
  evidence: z.record(z.string(), VersionRatings),
  suspects: z.array(z.string()),
});

/** The numbers of a place, added up over its hosts. */
type PlaceSums = z.output<typeof placeSums>;
const PlaceSums = placeSums;

export {PlaceSums};
