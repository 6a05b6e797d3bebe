import type {RolloutOrder} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import {Codec, number} from 'purify-ts/Codec';
import {decodeEntry} from '../records/decode_entry.js';
import type {RefusedEntryReporter} from '../records/refused_entry_reporter.js';
import type {RecordStore} from '../records/record_store.js';
import {Topic} from '../records/topic.js';
import type {TopicMirror} from '../records/topic_mirror.js';
import type {Rollout} from './rollout.js';
import {rolloutStartKey} from './rollout_start_key.js';

interface Options {
  readonly clock: Clock;
  readonly refusedEntries: RefusedEntryReporter;
  readonly store: RecordStore;
  /** The local copy of the topic that holds the start records. */
  readonly mirror: TopicMirror;
}

/** The record that the first host to see an order writes. */
interface StartRecord {
  /** Wall-clock time of the order, in ms. */
  readonly startedAtWall: number;
  /** Offset in the topic of states from which states belong to the order. */
  readonly statesFrom: number;
}

const startRecordCodec: Codec<StartRecord> = Codec.interface({
  startedAtWall: number,
  statesFrom: number,
});

/** Writes and reads the start records of rollouts, from which hosts know after a restart when a rollout started. */
export class RolloutStartRecords {
  constructor(private readonly options: Options) {}

  /** Calls the listener whenever the start records may have changed. */
  onChange(listener: () => void): void {
    this.options.mirror.onUpdate(listener);
  }

  /** Writes the start record of a rollout to the store. */
  async save(rollout: Rollout): Promise<void> {
    const {clock, store} = this.options;
    const start: StartRecord = {
      startedAtWall: Math.round(clock.wall() - rollout.elapsedMs),
      statesFrom: rollout.statesFrom,
    };
    await store.append({
      topic: Topic.HOSTS,
      key: rolloutStartKey(rollout.order),
      value: JSON.stringify(start),
    });
  }

  /**
   * Returns the time since the order by the wall clock, limited to the rollout's duration; 0 without a record. It is only an
   * estimate, for use after all hosts were restarted.
   */
  estimateElapsedMs(order: RolloutOrder): number {
    const start = this.find(order);
    if (!start) return 0;
    const elapsedMs = this.options.clock.wall() - start.startedAtWall;
    return Math.min(order.durationMs, Math.max(0, elapsedMs));
  }

  /** Returns the offset in the topic of states from which states belong to the order; undefined without a record. */
  findStatesFrom(order: RolloutOrder): number | undefined {
    return this.find(order)?.statesFrom;
  }

  private find(order: RolloutOrder): StartRecord | undefined {
    const {mirror, refusedEntries} = this.options;
    const record = mirror.get(rolloutStartKey(order));
    if (record?.value === undefined) return undefined;
    try {
      return decodeEntry(startRecordCodec, record);
    } catch (error) {
      // Without the start record, this host relies on what it saw itself for times and states.
      refusedEntries.report(mirror.topic, record, error);
      return undefined;
    }
  }
}
