import type {z} from 'zod';
import type {schemas} from './schemas.js';

/** A configured workspace; the fields are documented in its schema. */
export type Workspace = z.output<typeof schemas.workspace>;
