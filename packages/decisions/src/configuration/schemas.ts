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
  /** The part of its model's work at each step, 0 to 1, growing. */
  steps: z.array(fraction).min(1).max(10),
  /** The current step's index. */
  step: z.int().min(0),
  /** How many answers may be out without a rating, over all hosts together. */
  exposure: z.int().positive(),
});

const version = z.strictObject({
  id: versionId,
  model: name,
  state: z.enum(VersionState),
  /** Price of a thousand generated tokens, in the operator's unit of account. */
  cost: positive,
  /** Orders the models from weak (low) to strong (high). */
  strength: positive,
  rollOut: rollOut.optional(),
  /** Why the gate halted it; absent while nothing speaks against it. */
  suspect: z.string().max(400).optional(),
});

const task = z.strictObject({
  priority: z.enum(PriorityClass).default(PriorityClass.INTERACTIVE),
  /** The part of answers that must be rated good, 0 to 1. */
  quality: fraction.default(0.9),
  versions: z.array(versionId).max(64),
  /** Used where the caller names no deadline, in ms. */
  deadlineMs: z.int().positive().default(60_000),
});

const limit = z.strictObject({
  /** Requests a second over all hosts together. */
  requestsPerSecond: positive,
  /** How many requests may come at once above that rate. */
  burst: positive,
});

const workspace = z.strictObject({
  id: name,
  keyHashes: z
    .array(z.string().regex(SHA256, 'needs the SHA-256 of a key, in hex'))
    .min(1)
    .max(8),
  home: name,
  /** Whether its work may run in another place when waiting at home costs more. */
  crossing: z.boolean().default(false),
  whenStale: z.enum(StalePolicy).default(StalePolicy.SERVE),
  /** Its part in fair queueing against other workspaces of the same class. */
  weight: positive.default(1),
  limit: limit.optional(),
  tasks: z.record(name, task),
  services: z.array(name).max(64).default([]),
});

const route = z.strictObject({
  method: z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** The path's beginning, such as `/slips`. */
  path: z.string().startsWith('/'),
  priority: z.enum(PriorityClass).default(PriorityClass.URGENT),
  /** Whether sending it twice could do harm. */
  once: z.boolean(),
});

const service = z.strictObject({
  id: name,
  routes: z.array(route).max(64),
});

const place = z.strictObject({
  id: name,
  /** Whether hosts of this system stand there; a place may have runners only. */
  entry: z.boolean().default(true),
  /** The place that takes its new work. */
  handedOverTo: name.optional(),
});

/** The shapes of all configured objects; each is also the check of what comes from outside. */
export const schemas = {
  name,
  versionId,
  fraction: fraction,
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
