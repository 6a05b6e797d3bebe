/** Sort key of a queued request: compared element by element, lower ones are served first. */
export type QueueTag = readonly number[];
