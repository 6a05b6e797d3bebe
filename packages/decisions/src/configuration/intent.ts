import {z} from 'zod';
import {schemas} from './schemas.js';

const {name, versionId, fraction, positive} = schemas;
const DEFAULT_EXPOSURE = 100;
const DEFAULT_STEPS = [0.01, 0.1, 0.5, 1];
const hostOrRunner = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'needs the id of a host or runner');

/** The intents that operators submit. Each is validated before it is planned. */
const operatorIntent = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('set-workspace'),
    workspace: schemas.workspace,
  }),
  z.strictObject({
    kind: z.literal('allow-version'),
    workspace: name,
    task: name,
    version: versionId,
    allowed: z.boolean().default(true),
  }),
  z.strictObject({
    kind: z.literal('roll-out'),
    version: versionId,
    cost: positive,
    strength: positive,
    steps: z.array(fraction).min(1).max(10).default(DEFAULT_STEPS),
    exposure: z.int().positive().default(DEFAULT_EXPOSURE),
  }),
  z.strictObject({kind: z.literal('retire'), version: versionId}),
  z.strictObject({kind: z.literal('withdraw'), version: versionId}),
  z.strictObject({kind: z.literal('resume-roll-out'), version: versionId}),
  z.strictObject({
    kind: z.literal('move-workspace'),
    workspace: name,
    to: name,
  }),
  z.strictObject({kind: z.literal('drain-host'), host: hostOrRunner}),
  z.strictObject({kind: z.literal('drain-runner'), runner: hostOrRunner}),
  z
    .strictObject({
      kind: z.literal('undrain'),
      host: hostOrRunner.optional(),
      runner: hostOrRunner.optional(),
      place: name.optional(),
    })
    .refine(
      intent =>
        [intent.host, intent.runner, intent.place].filter(Boolean).length === 1,
      'needs exactly one of host, runner and place',
    ),
  z.strictObject({kind: z.literal('hand-over-place'), place: name, to: name}),
  z.strictObject({
    kind: z.literal('set-limit'),
    workspace: name,
    limit: schemas.limit.nullable(),
  }),
]);

/** The intents that hosts submit themselves, decided from the ratings of all hosts. They go through the log like those of operators, so that races have the same outcome everywhere. */
const gateIntent = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('advance-roll-out'),
    version: versionId,
    step: z.int().min(0),
  }),
  z.strictObject({
    kind: z.literal('halt-version'),
    version: versionId,
    evidence: z.string().max(400),
  }),
]);

const anyIntent = z.union([operatorIntent, gateIntent]);
type Intent = z.output<typeof anyIntent>;

/** Schemas of intents, by who may submit them. */
const Intent = {
  operator: operatorIntent,
  gate: gateIntent,
  any: anyIntent,
} as const;

export {Intent};
