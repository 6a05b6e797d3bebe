import type {QueueTag} from './queue_tag.js';

/** Compares two sort keys of the same discipline; negative if `a` is served first. */
export function compareQueueTags(a: QueueTag, b: QueueTag): number {
  for (let i = 0; i < a.length; i++) {
    if (a[i] !== b[i]) return a[i] - b[i];
  }
  return 0;
}
