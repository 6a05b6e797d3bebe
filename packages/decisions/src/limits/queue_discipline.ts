import type {QueuedRequest} from './queued_request.js';

/** Decides who goes first. */
export interface QueueDiscipline {
  /** The item's place in the order: lower goes first. Asked once, when it joins. */
  assignTag(item: QueuedRequest): number;
  /** Told when an item with this tag is taken. */
  recordDequeue(item: QueuedRequest, tag: number): void;
}
