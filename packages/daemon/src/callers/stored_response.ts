import {z} from 'zod';

const storedResponse = z.strictObject({
  status: z.int(),
  headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
  /** The body in base64. */
  body: z.string(),
});

/** A buffered response that is stored for its key and sent between hosts. */
type StoredResponse = z.output<typeof storedResponse>;
const StoredResponse = storedResponse;

export {StoredResponse};
