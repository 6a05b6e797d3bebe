import {z} from 'zod';

const storedResponse = z.strictObject({
  status: z.int(),
  headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
  /** The body in base64. */
  body: z.string(),
});

/** An answer that is kept for its key, and passed between hosts. */
type StoredResponse = z.output<typeof storedResponse>;
const StoredResponse = storedResponse;

export {StoredResponse};
