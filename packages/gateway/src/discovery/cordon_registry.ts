import type {CordonOrder} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {KeyedRecord} from '../records/keyed_record.js';
import type {TopicMirror} from '../records/topic_mirror.js';
import type {RecordReader} from './record_reader.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  /** The mirror of the operator's topic. */
  readonly mirror: TopicMirror;
  readonly reader: RecordReader;
}

type Listener = (order: CordonOrder) => void;

/** Places that operators cordoned: their runners get no new calls, while running calls complete. */
export class CordonRegistry {
  /** When this host learned of each cordon, on its clock, by place. */
  private readonly cordonedSince = new Map<string, number>();
  private readonly listeners: Listener[] = [];

  constructor(private readonly options: Options) {
    options.mirror.onUpdate(({changed}) => {
      for (const record of changed) this.applyRecord(record);
    });
  }

  /** Whether a place is cordoned. */
  has(place: string): boolean {
    return this.cordonedSince.has(place);
  }

  /** Lists the cordoned places, sorted. */
  listPlaces(): string[] {
    return [...this.cordonedSince.keys()].sort();
  }

  /** Calls the listener on each cordon that is added or removed. */
  onChange(listener: Listener): void {
    this.listeners.push(listener);
  }

  private applyRecord(record: KeyedRecord): void {
    const order = this.options.reader.readCordonOrder(record);
    if (!order || order.isCordoned === this.has(order.place)) return;
    if (order.isCordoned) this.addCordon(order.place, record.offset);
    else this.removeCordon(order.place, record.offset);
    for (const listener of this.listeners) listener(order);
  }

  private addCordon(place: string, offset: number): void {
    const {clock, log, mirror} = this.options;
    const now = clock.now();
    this.cordonedSince.set(place, now);
    const ageMs = Math.min(now - mirror.freshAsOf, Number.MAX_SAFE_INTEGER);
    log.write('place_cordoned', {place, offset, ageMs: Math.round(ageMs)});
  }

  private removeCordon(place: string, offset: number): void {
    const {clock, log} = this.options;
    const now = clock.now();
    const forMs = now - (this.cordonedSince.get(place) ?? now);
    this.cordonedSince.delete(place);
    log.write('place_uncordoned', {place, offset, forMs: Math.round(forMs)});
  }
}
