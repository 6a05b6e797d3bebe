import type {z} from 'zod';
import type {schemas} from './schemas.js';

/** A configured route; the fields are documented in its schema. */
export type Route = z.output<typeof schemas.route>;
