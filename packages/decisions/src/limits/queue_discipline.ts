import type {QueueTag} from './queue_tag.js';
import type {QueuedRequest} from './queued_request.js';

/** The order in which an admission queue serves its requests. */
export interface QueueDiscipline<Item = QueuedRequest> {
  /** Returns the request's sort key: lower tags are served first. Called once, when the request is queued. */
  assignTag(item: Item): QueueTag;
  /** Records that a request with this tag left the queue for a runner. */
  recordDequeue(item: Item, tag: QueueTag): void;
}
