import type {z} from 'zod';
import type {schemas} from './schemas.js';

/** A configured version; the fields are documented in its schema. */
export type Version = z.output<typeof schemas.version>;
