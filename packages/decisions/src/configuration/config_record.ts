import {z} from 'zod';
import type {Configuration} from './configuration.js';
import {Intent} from './intent.js';
import {Seed} from './seed.js';

const intentRecord = z.strictObject({
  type: z.literal('intent'),
  /** Assigned when the intent is planned; an intent that is sent again has the same id. */
  id: z.string().min(1).max(64),
  intent: Intent.any,
  /** Revision of each touched object when the intent was planned. */
  basis: z.record(z.string(), z.int()),
  by: z.string().max(128),
});

const snapshotRecord = z.strictObject({
  type: z.literal('snapshot'),
  id: z.string().min(1).max(64),
  /** Offset of the last record that the state includes. */
  upTo: z.int(),
  /** SHA-256 of the state's canonical JSON, in hex. */
  digest: z.string(),
  state: z.custom<Configuration>(
    value => typeof value === 'object' && value !== null,
  ),
});

const seedRecord = z.strictObject({
  type: z.literal('seed'),
  id: z.string().min(1).max(64),
  seed: Seed,
});

/** The records of the configuration stream. */
const ConfigRecord = z.discriminatedUnion('type', [
  intentRecord,
  snapshotRecord,
  seedRecord,
]);
type ConfigRecord = z.output<typeof ConfigRecord>;

export {ConfigRecord};
