import type {z} from 'zod';
import type {schemas} from './schemas.js';

/** A configured limit; its fields are described at its schema. */
export type WorkspaceLimit = z.output<typeof schemas.limit>;
