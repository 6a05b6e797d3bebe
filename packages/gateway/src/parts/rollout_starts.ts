import type {RolloutOrder} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {RecordStore} from '../records/record_store.js';
import {Topic} from '../records/topic.js';
import type {TopicMirror} from '../records/topic_mirror.js';
import type {Rollout} from '../rollouts/rollout.js';
import {startKey} from '../rollouts/start_key.js';

interface Options {
  readonly clock: Clock;
  readonly store: RecordStore;
  /** The copy of the topic in which starts are noted. */
  readonly mirror: TopicMirror;
}

/** When roll-outs started, as hosts note it in the store. */
export class RolloutStarts {
  constructor(private readonly options: Options) {}

  /** Notes in the store when a roll-out started. */
  async note(rollout: Rollout): Promise<void> {
    const {clock, store} = this.options;
    const startedAtWall = Math.round(clock.wall() - rollout.elapsedMs);
    await store.append({
      topic: Topic.HOSTS,
      key: startKey(rollout.order),
      value: JSON.stringify({startedAtWall}),
    });
  }

  /** A time of day is only a hint: it helps after all hosts were restarted, and is bounded. */
  elapsedMs(order: RolloutOrder): number {
    const value = this.options.mirror.get(startKey(order))?.value;
    if (value === undefined) return 0;
    const {startedAtWall} = JSON.parse(value) as {startedAtWall: number};
    const elapsedMs = this.options.clock.wall() - startedAtWall;
    return Math.min(order.durationMs, Math.max(0, elapsedMs));
  }
}
