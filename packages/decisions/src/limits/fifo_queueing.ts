import type {QueueDiscipline} from './queue_discipline.js';
import type {QueueTag} from './queue_tag.js';

/** Baseline discipline: first in, first out. */
export class FifoQueueing implements QueueDiscipline<unknown> {
  private arrivals = 0;

  assignTag(): QueueTag {
    return [this.arrivals++];
  }

  recordDequeue(): void {}
}
