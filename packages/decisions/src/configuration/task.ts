import type {z} from 'zod';
import type {schemas} from './schemas.js';

/** A configured task; the fields are documented in its schema. */
export type Task = z.output<typeof schemas.task>;
