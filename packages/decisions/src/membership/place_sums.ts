import {z} from 'zod';
import {VersionRatings} from './version_ratings.js';

const placeSums = z.strictObject({
  /** Number of hosts by the offset of the configuration in force. */
  offsets: z.record(z.string(), z.int()),
  /** Sums over the place's hosts of the fields in `HostState`. */
  running: z.record(z.string(), z.int()),
  demand: z.record(z.string(), z.number()),
  evidence: z.record(z.string(), VersionRatings),
  suspects: z.array(z.string()),
});

/** The numbers of a place, summed over its hosts. */
type PlaceSums = z.output<typeof placeSums>;
const PlaceSums = placeSums;

export {PlaceSums};
