import {z} from 'zod';
import {schemas} from './schemas.js';

const seed = z.strictObject({
  versions: z.array(schemas.version),
  workspaces: z.array(schemas.workspace),
  services: z.array(schemas.service).default([]),
  places: z.array(schemas.place).min(1),
});

/** The initial configuration of a new log, in the form of a file that an operator writes. */
type Seed = z.output<typeof seed>;
const Seed = seed;

export {Seed};
