import {z} from 'zod';

const leg = z.strictObject({
  version: z.string(),
  promptTokens: z.int().min(0),
  completionTokens: z.int().min(0),
  /** In the operator's unit of account. */
  cost: z.number().min(0),
});

const bill = z.strictObject({
  type: z.literal('bill'),
  /** The request's id or the ticket's; readers deduplicate bills by it. */
  id: z.string().max(64),
  workspace: z.string(),
  task: z.string(),
  /** Everything that ran, over all retries and legs of a cascade. */
  legs: z.array(leg),
  /** Whether the caller received the complete answer. */
  whole: z.boolean(),
});

/** The bill of a request; there is exactly one. */
type Bill = z.output<typeof bill>;
const Bill = bill;

export {Bill};
