import {z} from 'zod';

const claimRecord = z.strictObject({
  type: z.literal('claim'),
  /** Id of the record; unchanged when the record is sent again after a lost response. */
  id: z.string().max(64),
  /** SHA-256 of the workspace and the idempotency key, in hex. */
  key: z.string().length(64),
  host: z.string(),
  place: z.string(),
  boot: z.string(),
  address: z.string(),
});

/** A host's claim to run the request of an idempotency key that its caller chose. */
type ClaimRecord = z.output<typeof claimRecord>;
const ClaimRecord = claimRecord;

export {ClaimRecord};
