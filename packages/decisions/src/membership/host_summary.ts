import {z} from 'zod';

const hostSummary = z.strictObject({
  id: z.string().max(64),
  address: z.string().max(64),
  incarnation: z.int(),
  boot: z.string().max(64),
  leaving: z.boolean(),
});

/** The part of a host's state that other places need. It changes only when the host restarts, moves or leaves. */
type HostSummary = z.output<typeof hostSummary>;
const HostSummary = hostSummary;

export {HostSummary};
