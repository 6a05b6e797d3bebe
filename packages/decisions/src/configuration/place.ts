import type {z} from 'zod';
import type {schemas} from './schemas.js';

/** A configured place; the fields are documented in its schema. */
export type Place = z.output<typeof schemas.place>;
