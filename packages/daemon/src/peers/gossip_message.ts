import {HostState, PlaceDigestDelta} from '@bayspool/decisions';
import {z} from 'zod';

const MAX_HOSTS = 256;
const MAX_PLACES = 256;

const gossipMessage = z.strictObject({
  /** The sender's own state. */
  from: HostState,
  /** States of the hosts of the sender's place, for a receiver that has just started. */
  others: z.array(HostState).max(MAX_HOSTS),
  /** Digest deltas of places that the receiver is not known to have. */
  news: z.array(PlaceDigestDelta).max(MAX_PLACES),
  /** Places with a digest part that was sent to the sender by hash only and that it lacks. */
  lacking: z.array(z.string().max(64)).max(MAX_PLACES),
  /** Ms since some host, as far as the sender knows, last read the log to its end; absent when none did. */
  freshnessMs: z.number().min(0).optional(),
  /** Whether the sender knows no other host yet and asks for everything. */
  isNew: z.boolean(),
});

/** A heartbeat between hosts, and the reply to it. */
type GossipMessage = z.output<typeof gossipMessage>;
const GossipMessage = gossipMessage;

export {GossipMessage};
