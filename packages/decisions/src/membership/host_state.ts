import {z} from 'zod';
import {VersionRatings} from './version_ratings.js';

const hostState = z.strictObject({
  id: z.string().max(64),
  place: z.string().max(64),
  /** Address at which peers reach it. */
  address: z.string().max(64),
  /** Grows with each restart of the host's process. */
  incarnation: z.int(),
  /** Identifies the process that owns tickets and bills. */
  boot: z.string().max(64),
  /** Grows with each change of the state by the host itself. */
  sequence: z.int(),
  /** Offset of the configuration in force at the host. */
  offset: z.int(),
  leaving: z.boolean(),
  /** Requests in progress, by the place of their runner. */
  running: z.record(z.string(), z.int()),
  /** Recent requests per second by workspace; only workspaces that have a limit. */
  demand: z.record(z.string(), z.number()),
  /** Rating counts by version. */
  evidence: z.record(z.string(), VersionRatings),
  /** Versions that this host halted, also when the log does not say so yet. */
  suspects: z.array(z.string()),
});

/** The state that a host gossips to the other hosts of its place. Only the host itself increments the sequence. */
type HostState = z.output<typeof hostState>;
const HostState = hostState;

export {HostState};
