import {createFlowKey} from './create_flow_key.js';
import type {QueueDiscipline} from './queue_discipline.js';
import type {QueueTag} from './queue_tag.js';
import type {UrgencyRequest} from './urgency_request.js';

/**
 * Time that a call gives way for each ms of its work, in ms: of two calls that can both be in time, the one with less
 * work goes first unless the other one has much less slack.
 */
const DELAY_PER_WORK = 4;
/** Work of a workspace's turn at its weight, in ms: a fraction of the latency targets in use. */
const TURN_MS = 100;
/**
 * How far the turns of a workspace are planned ahead, in ms: requests that left the queue unserved must not hold its later
 * ones back for longer than a call waits.
 */
const MAX_LEAD_MS = 2_000;
/** Element of a tag that holds the virtual start time. */
const START = 5;

/**
 * Orders by priority, then fairly between workspaces, then by what can still be in time with the least slack and the
 * least work. Workspaces within their fair share go first; the others take turns.
 */
export class UrgencyQueueing implements QueueDiscipline<UrgencyRequest> {
  private readonly finishTimes = new Map<string, number>();
  private readonly virtualTimes = new Map<number, number>();

  assignTag(item: UrgencyRequest): QueueTag {
    const tag = this.previewTag(item);
    const {priority, workspace, isOverShare, cost, weight} = item;
    if (isOverShare)
      this.finishTimes.set(
        createFlowKey(priority, workspace),
        tag[START] + cost / weight,
      );
    return tag;
  }

  /** The tag that a request would get if it were queued now. */
  previewTag(item: UrgencyRequest): QueueTag {
    const {priority, isOverShare, isLate, latestStartAt, cost} = item;
    const start = isOverShare ? this.findStart(item) : 0;
    return [
      priority,
      Number(isOverShare),
      Math.floor(start / TURN_MS),
      Number(isLate),
      latestStartAt + cost * DELAY_PER_WORK,
      start,
    ];
  }

  recordDequeue({priority, isOverShare}: UrgencyRequest, tag: QueueTag): void {
    if (!isOverShare) return;
    const time = Math.max(this.virtualTimes.get(priority) ?? 0, tag[START]);
    this.virtualTimes.set(priority, time);
    for (const [flow, finish] of this.finishTimes) {
      if (flow.startsWith(createFlowKey(priority, '')) && finish <= time)
        this.finishTimes.delete(flow);
    }
  }

  private findStart({priority, workspace}: UrgencyRequest): number {
    const time = this.virtualTimes.get(priority) ?? 0;
    const flow = createFlowKey(priority, workspace);
    const finish = this.finishTimes.get(flow) ?? 0;
    return Math.min(Math.max(time, finish), time + MAX_LEAD_MS);
  }
}
