import type {RolloutOrder} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import {Codec, number} from 'purify-ts/Codec';
import {readEntry} from '../records/read_entry.js';
import type {Refusals} from '../records/refusals.js';
import type {RecordStore} from '../records/record_store.js';
import {Topic} from '../records/topic.js';
import type {TopicMirror} from '../records/topic_mirror.js';
import type {Rollout} from './rollout.js';
import {rolloutStartKey} from './rollout_start_key.js';

interface Options {
  readonly clock: Clock;
  readonly refusals: Refusals;
  readonly store: RecordStore;
  /** The copy of the topic in which starts are noted. */
  readonly mirror: TopicMirror;
}

/** What a host notes when it is the first to see an order. */
interface StartRecord {
  /** Time of day of the order, in ms. */
  readonly startedAtWall: number;
  /** Position in the topic of states from which they are about the order. */
  readonly statesFrom: number;
}

const startRecordCodec: Codec<StartRecord> = Codec.interface({
  startedAtWall: number,
  statesFrom: number,
});

/** When roll-outs started, as hosts note it in the store. */
export class RolloutStartRecords {
  constructor(private readonly options: Options) {}

  /** Tells the listener that there may be new notes. */
  onChange(listener: () => void): void {
    this.options.mirror.onUpdate(listener);
  }

  /** Notes in the store when a roll-out started. */
  async save(rollout: Rollout): Promise<void> {
    const {clock, store} = this.options;
    const note: StartRecord = {
      startedAtWall: Math.round(clock.wall() - rollout.elapsedMs),
      statesFrom: rollout.statesFrom,
    };
    await store.append({
      topic: Topic.HOSTS,
      key: rolloutStartKey(rollout.order),
      value: JSON.stringify(note),
    });
  }

  /** A time of day is only a hint: it helps after all hosts were restarted, and is bounded. */
  estimateElapsedMs(order: RolloutOrder): number {
    const note = this.find(order);
    if (!note) return 0;
    const elapsedMs = this.options.clock.wall() - note.startedAtWall;
    return Math.min(order.durationMs, Math.max(0, elapsedMs));
  }

  /** Position in the topic of states from which they are about the order; undefined if not noted. */
  statesFrom(order: RolloutOrder): number | undefined {
    return this.find(order)?.statesFrom;
  }

  private find(order: RolloutOrder): StartRecord | undefined {
    const {mirror, refusals} = this.options;
    const record = mirror.get(rolloutStartKey(order));
    if (record?.value === undefined) return undefined;
    try {
      return readEntry(startRecordCodec, record);
    } catch (error) {
      // Without the note, times and states count from what this host saw itself.
      refusals.note(mirror.topic, record, error);
      return undefined;
    }
  }
}
