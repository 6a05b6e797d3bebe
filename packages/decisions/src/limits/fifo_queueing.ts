import type {QueueDiscipline} from './queue_discipline.js';

/** A baseline: first come, first served. */
export class FifoQueueing implements QueueDiscipline {
  private arrivals = 0;

  assignTag(): number {
    return this.arrivals++;
  }

  recordDequeue(): void {}
}
