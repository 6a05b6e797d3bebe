import {PriorityClass} from '../configuration/priority_class.js';
import type {QueueDiscipline} from './queue_discipline.js';
import type {QueueTag} from './queue_tag.js';
import type {QueuedRequest} from './queued_request.js';

/** Relative capacity of interactive and bulk requests while both are queued. Urgent requests are served before both. */
const CLASS_WEIGHTS = {
  [PriorityClass.URGENT]: 1,
  [PriorityClass.INTERACTIVE]: 8,
  [PriorityClass.BULK]: 1,
} as const;
/** First element of the tags of each band. */
const BAND_RANKS = {urgent: 0, other: 1} as const;

/**
 * Start-time fair queueing over workspaces: a request's tag is the later of the virtual time and the
 * finish tag of its flow, which is the flow's last start tag plus cost over weight. Urgent requests
 * have a separate band ahead of the rest and are queued fairly within it.
 */
export class StartTimeFairQueueing implements QueueDiscipline {
  private readonly finishTags = new Map<string, number>();
  private readonly virtualTime = {urgent: 0, other: 0};

  assignTag(item: QueuedRequest): QueueTag {
    const band = selectBand(item);
    const flow = `${item.priority}/${item.workspace}`;
    const start = Math.max(
      this.virtualTime[band],
      this.finishTags.get(flow) ?? 0,
    );
    this.finishTags.set(
      flow,
      start + item.cost / (item.weight * CLASS_WEIGHTS[item.priority]),
    );
    return [BAND_RANKS[band], start];
  }

  recordDequeue(item: QueuedRequest, [, start]: QueueTag): void {
    const band = selectBand(item);
    this.virtualTime[band] = Math.max(this.virtualTime[band], start);
    this.evictIdleFlows();
  }

  private evictIdleFlows(): void {
    for (const [flow, finish] of this.finishTags) {
      const band = flow.startsWith(PriorityClass.URGENT) ? 'urgent' : 'other';
      if (finish <= this.virtualTime[band]) this.finishTags.delete(flow);
    }
  }
}

function selectBand(item: QueuedRequest): 'urgent' | 'other' {
  return item.priority === PriorityClass.URGENT ? 'urgent' : 'other';
}
