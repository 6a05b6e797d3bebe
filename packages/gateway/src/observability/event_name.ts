import type {EventFields} from './event_fields.js';

/** Name of a log event. */
export type EventName = keyof EventFields;
