import {z} from 'zod';
import {fields} from '../settings/fields.js';

/** Sections for logs and traces, read by every program. */
export const observabilitySections = {
  logging: {
    name: 'logging',
    shape: z.strictObject({
      /** The least grave lines that are written. */
      level: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
      /** A JSON object or a line of text an event. */
      format: z.enum(['json', 'text']).default('json'),
    }),
  },
  tracing: {
    name: 'tracing',
    shape: z.strictObject({
      /** The collector's OTLP/HTTP endpoint for traces; none switches the export off. */
      collector: z
        .url('needs the URL of an OTLP/HTTP trace endpoint')
        .optional(),
      /** The part of the requests without a traceparent of their own that is traced, 0 to 1. */
      sample: fields.number(1),
    }),
  },
};
