import {HostState, PlaceDigestDelta} from '@bayspool/decisions';
import {z} from 'zod';

const MAX_HOSTS = 256;
const MAX_PLACES = 256;

const gossipMessage = z.strictObject({
  /** The sender's own entry. */
  from: HostState,
  /** Entries of other hosts of the sender's place, for one that has just come. */
  others: z.array(HostState).max(MAX_HOSTS),
  /** What the receiver is not known to have of other places. */
  news: z.array(PlaceDigestDelta).max(MAX_PLACES),
  /** Places of which the sender was sent a part by name only that it does not have. */
  lacking: z.array(z.string().max(64)).max(MAX_PLACES),
  /** Ms since the sender knows that somebody read the log to its end; none when it never did. */
  freshnessMs: z.number().min(0).optional(),
  /** Whether the sender knows nobody yet and asks for all that is known. */
  isNew: z.boolean(),
});

/** The heartbeat between hosts, and its answer. */
type GossipMessage = z.output<typeof gossipMessage>;
const GossipMessage = gossipMessage;

export {GossipMessage};
