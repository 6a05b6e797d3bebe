import type {Configuration} from '@bayspool/decisions';
import {z} from 'zod';

const configurationReply = z.object({
  /** Absent when the peer has nothing newer. */
  state: z
    .custom<Configuration>(value => typeof value === 'object' && value !== null)
    .optional(),
  /** SHA-256 of the state's canonical JSON, in hex. */
  digest: z.string().optional(),
  /** Ms since some host, as far as the peer knows, last read the log to its end; absent when none did. */
  freshnessMs: z.number().optional(),
});

/** A peer's answer to a host whose configuration is behind. */
type ConfigurationReply = z.output<typeof configurationReply>;
const ConfigurationReply = configurationReply;

export {ConfigurationReply};
