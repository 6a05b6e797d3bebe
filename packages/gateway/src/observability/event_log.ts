import type {Clock} from '@bayspool/kernel';
import type {EventFields} from './event_fields.js';
import type {EventName} from './event_name.js';
import type {EventSink} from './event_sink.js';

interface Options {
  readonly clock: Clock;
  readonly host: string;
  readonly sink: EventSink;
  /** Lines of detail a second before they are sampled; failures are always written. */
  readonly detailPerSecond?: number;
}

/** Events that come with each request or answer; the first to be sampled under load. */
const DETAIL: ReadonlySet<EventName> = new Set<EventName>([
  'request_accepted',
  'runner_limit_changed',
  'runner_limit_malformed',
  'runner_withheld',
  'runner_chosen',
  'attempt_ended',
  'answer_weighed',
  'request_answered',
  'caller_left',
]);
/**
 * Lines of detail a second: four a request at 100 requests a second, some eight times the load that
 * one host of the design size has.
 */
const DETAIL_PER_SECOND = 400;
const SECOND_MS = 1_000;

/** Writes one JSON line an event; detail is left out above a rate, and the loss is told. */
export class EventLog {
  private second = 0;
  private written = 0;
  private dropped = 0;
  private sampledOut = 0;

  constructor(private readonly options: Options) {}

  /** Lines that were left out since the start, by sampling or because the reader was too slow. */
  get droppedLines(): number {
    return this.sampledOut + (this.options.sink.dropped ?? 0);
  }

  /** Writes an event with the time and this host. */
  write<N extends EventName>(event: N, fields: EventFields[N]): void {
    if (DETAIL.has(event) && !this.hasRoom()) return;
    this.writeLine(event, fields);
  }

  private writeLine(event: EventName, fields: object): void {
    const {clock, host, sink} = this.options;
    const time = new Date(clock.wall()).toISOString();
    const steadyMs = Math.round(clock.now());
    sink.write(JSON.stringify({time, steadyMs, host, event, ...fields}));
  }

  private hasRoom(): boolean {
    const {clock, detailPerSecond = DETAIL_PER_SECOND} = this.options;
    const second = Math.floor(clock.now() / SECOND_MS);
    if (second !== this.second) this.startSecond(second);
    this.written += 1;
    if (this.written <= detailPerSecond) return true;
    this.dropped += 1;
    this.sampledOut += 1;
    return false;
  }

  private startSecond(second: number): void {
    const count = this.dropped;
    this.second = second;
    this.written = 0;
    this.dropped = 0;
    if (count > 0) this.writeLine('lines_dropped', {count});
  }
}
