import type {CordonOrder} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {KeyedRecord} from '../records/keyed_record.js';
import type {TopicMirror} from '../records/topic_mirror.js';
import type {RecordReader} from './record_reader.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  /** The copy of the operator's topic. */
  readonly mirror: TopicMirror;
  readonly reader: RecordReader;
}

type Listener = (order: CordonOrder) => void;

/** Places whose runners get no new calls, by order of the operator. Calls that run there end well. */
export class CordonRegistry {
  /** Since when this host knows of each, on its clock. */
  private readonly cordonedSince = new Map<string, number>();
  private readonly listeners: Listener[] = [];

  constructor(private readonly options: Options) {
    options.mirror.onUpdate(({changed}) => {
      for (const record of changed) this.applyRecord(record);
    });
  }

  /** Whether the runners of a place get no new calls. */
  has(place: string): boolean {
    return this.cordonedSince.has(place);
  }

  /** The places, sorted. */
  listPlaces(): string[] {
    return [...this.cordonedSince.keys()].sort();
  }

  /** Tells the listener of each order, and of each that was taken away. */
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
