import {z} from 'zod';

const forwardedCall = z.strictObject({
  id: z.string().max(64),
  billId: z.string().max(128),
  workspace: z.string(),
  method: z.string(),
  path: z.string(),
  headers: z.record(z.string(), z.string()),
  /** The body in base64. */
  body: z.string(),
  deadlineMs: z.number().optional(),
});

/** A call that is forwarded to the host that must run it. */
type ForwardedCall = z.output<typeof forwardedCall>;
const ForwardedCall = forwardedCall;

export {ForwardedCall};
