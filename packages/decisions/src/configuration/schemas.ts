import {z} from 'zod';
import {PriorityClass} from './priority_class.js';
import {VersionState} from './version_state.js';
import {StalePolicy} from './stale_policy.js';

const NAME = /^[a-z0-9][a-z0-9-]{0,62}$/;
const VERSION_ID = /^[a-z0-9][a-z0-9-]{0,62}@[a-z0-9][a-z0-9.-]{0,30}$/;
const SHA256 = /^[0-9a-f]{64}$/;

const name = z
  .string()
  .regex(NAME, 'needs a name of lower-case letters, digits and hyphens');
const versionId = z
  .string()
  .regex(VERSION_ID, 'needs a version like geo-large@4');
const fraction = z.number().min(0).max(1);
const positive = z.number().positive();

const rollOut = z.strictObject({
  /** Fraction of its model's requests at each step, 0 to 1, increasing. */
  steps: z.array(fraction).min(1).max(10),
  /** Index of the current step. */
  step: z.int().min(0),
  /** Exposure budget: maximum number of answers without a rating, over all hosts. */
  exposure: z.int().positive(),
});

const version = z.strictObject({
  id: versionId,
  model: name,
  state: z.enum(VersionState),
  /** Price of a thousand generated tokens, in the operator's unit of account. */
  cost: positive,
  /** Ranks the models from weak (low) to strong (high). */
  strength: positive,
  rollOut: rollOut.optional(),
  /** Why the gate halted it; absent while it is not halted. */
  suspect: z.string().max(400).optional(),
});

const task = z.strictObject({
  priority: z.enum(PriorityClass).default(PriorityClass.INTERACTIVE),
  /** Fraction of answers that must be rated good, 0 to 1. */
  quality: fraction.default(0.9),
  versions: z.array(versionId).max(64),
  /** Default for requests without a deadline, in ms. */
  deadlineMs: z.int().positive().default(60_000),
});

const limit = z.strictObject({
  /** Requests per second over all hosts. */
  requestsPerSecond: positive,
  /** Number of requests above that rate that may come in a burst. */
  burst: positive,
});

const workspace = z.strictObject({
  id: name,
  keyHashes: z
    .array(z.string().regex(SHA256, 'needs the SHA-256 of a key, in hex'))
    .min(1)
    .max(8),
  home: name,
  /** Whether its requests may run in another place when waiting in the home place costs more. */
  crossing: z.boolean().default(false),
  whenStale: z.enum(StalePolicy).default(StalePolicy.SERVE),
  /** Its weight in fair queueing, relative to other workspaces of the same priority class. */
  weight: positive.default(1),
  limit: limit.optional(),
  tasks: z.record(name, task),
  services: z.array(name).max(64).default([]),
});

const route = z.strictObject({
  method: z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Prefix of the path, such as `/slips`. */
  path: z.string().startsWith('/'),
  priority: z.enum(PriorityClass).default(PriorityClass.URGENT),
  /** Whether running a request twice could do harm. */
  once: z.boolean(),
});

const service = z.strictObject({
  id: name,
  routes: z.array(route).max(64),
});

const place = z.strictObject({
  id: name,
  /** Whether the place has hosts of this system; a place may have runners only. */
  entry: z.boolean().default(true),
  /** The place that takes over its new requests. */
  handedOverTo: name.optional(),
});

/** Schemas of all configured objects, which also validate external input. */
export const schemas = {
  name,
  versionId,
  fraction,
  positive,
  rollOut,
  version,
  task,
  limit,
  workspace,
  route,
  service,
  place,
};
