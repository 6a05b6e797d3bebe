import type {EventFields} from './event_fields.js';

/** The name of an event of the log. */
export type EventName = keyof EventFields;
