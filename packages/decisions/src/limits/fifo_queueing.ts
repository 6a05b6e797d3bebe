import type {QueueDiscipline} from './queue_discipline.js';

/** Baseline discipline: first in, first out. */
export class FifoQueueing implements QueueDiscipline {
  private arrivals = 0;

  assignTag(): number {
    return this.arrivals++;
  }

  recordDequeue(): void {}
}
