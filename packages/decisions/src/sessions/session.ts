import {z} from 'zod';

const session = z.strictObject({
  id: z.string().max(64),
  workspace: z.string(),
  version: z.string(),
  /** Offset of the configuration at the start. */
  offset: z.int(),
  /** Wall time of the start in ms. */
  startedAt: z.number(),
});

/** A conversation that is pinned to a version. The sealed session is its only record. */
type Session = z.output<typeof session>;
const Session = session;

export {Session};
