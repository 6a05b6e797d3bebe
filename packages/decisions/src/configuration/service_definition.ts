import type {z} from 'zod';
import type {schemas} from './schemas.js';

/** A configured service; the fields are documented in its schema. */
export type ServiceDefinition = z.output<typeof schemas.service>;
