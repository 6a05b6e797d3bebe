import type {z} from 'zod';
import type {schemas} from './schemas.js';

/** A configured limit; the fields are documented in its schema. */
export type WorkspaceLimit = z.output<typeof schemas.limit>;
