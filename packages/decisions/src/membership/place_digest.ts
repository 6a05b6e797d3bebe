import type {HostSummary} from './host_summary.js';
import type {PlaceSums} from './place_sums.js';

/** A summary of a place: its hosts, and sums instead of the numbers of each host. */
export interface PlaceDigest {
  readonly place: string;
  /** Time since a relay of the place created it, in ms. */
  readonly ageMs: number;
  readonly hosts: readonly HostSummary[];
  readonly sums: PlaceSums;
}
