import {z} from 'zod';

const ticket = z.strictObject({
  id: z.string().max(64),
  workspace: z.string(),
  /** The only host that may dispatch the request. */
  host: z.string(),
  place: z.string(),
  /** The process of that host that issued the ticket; a later process of the host must not dispatch the request. */
  boot: z.string(),
  /** The peer address of that process. */
  address: z.string(),
  /** Wall time in ms, by the issuing host's clock, after which it rejects the ticket. */
  expiresAt: z.number(),
});

/** A single-use permit to run a request that must not be repeated. */
type Ticket = z.output<typeof ticket>;
const Ticket = ticket;

export {Ticket};
