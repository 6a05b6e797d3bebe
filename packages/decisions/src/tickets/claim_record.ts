import {z} from 'zod';

const claimRecord = z.strictObject({
  type: z.literal('claim'),
  /** The record's own id; sent again with the same id when a reply is lost. */
  id: z.string().max(64),
  /** SHA-256 over workspace and the caller's key, in hex. */
  key: z.string().length(64),
  host: z.string(),
  place: z.string(),
  boot: z.string(),
  address: z.string(),
});

/** A host's claim to be the one that runs the request of a caller's own key. */
type ClaimRecord = z.output<typeof claimRecord>;
const ClaimRecord = claimRecord;

export {ClaimRecord};
