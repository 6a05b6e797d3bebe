import {z} from 'zod';
import {VersionRatings} from './version_ratings.js';

const hostState = z.strictObject({
  id: z.string().max(64),
  place: z.string().max(64),
  /** The address of its peer door. */
  address: z.string().max(64),
  /** Grows with each process of the same host. */
  incarnation: z.int(),
  /** Names the process; tickets and bills belong to it. */
  boot: z.string().max(64),
  /** Grows with each change that the host makes to its own entry. */
  sequence: z.int(),
  /** The configuration offset in force at the host. */
  offset: z.int(),
  leaving: z.boolean(),
  /** Requests in progress, by the place of their runner. */
  running: z.record(z.string(), z.int()),
  /** Recent requests a second, by workspace; only those that have a limit. */
  demand: z.record(z.string(), z.number()),
  /** Rating counts by version. */
  evidence: z.record(z.string(), VersionRatings),
  /** Versions that this host halted before the log said so. */
  suspects: z.array(z.string()),
});

/** What a host tells the others of its place about itself. Only the host itself makes a new sequence. */
type HostState = z.output<typeof hostState>;
const HostState = hostState;

export {HostState};
