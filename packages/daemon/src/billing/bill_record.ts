import {Bill} from '@bayspool/decisions';
import {z} from 'zod';

const billRecord = z.strictObject({
  type: z.literal('bills'),
  host: z.string(),
  bills: z.array(Bill),
});

/** A record of the bills stream: a batch from one host. Readers deduplicate by bill id. */
type BillRecord = z.output<typeof billRecord>;
const BillRecord = billRecord;

export {BillRecord};
