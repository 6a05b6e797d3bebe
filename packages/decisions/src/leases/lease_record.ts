import {z} from 'zod';

const leaseRecord = z.strictObject({
  type: z.literal('lease'),
  id: z.string().max(64),
  place: z.string(),
  holder: z.string(),
  boot: z.string(),
  /** Duration of the lease, from the log's time of the append, in ms; 0 releases it. */
  ttlMs: z.int().min(0),
});

/** A request to acquire or renew the lease of a place. */
type LeaseRecord = z.output<typeof leaseRecord>;
const LeaseRecord = leaseRecord;

export {LeaseRecord};
