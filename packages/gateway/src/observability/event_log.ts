import type {Clock} from '@bayspool/kernel';
import type {EventFields} from './event_fields.js';
import type {EventName} from './event_name.js';
import type {EventSink} from './event_sink.js';

interface Options {
  readonly clock: Clock;
  readonly host: string;
  readonly sink: EventSink;
  /** Sampled lines written per second; further ones are dropped. */
  readonly maxSampledPerSecond?: number;
}

/** Events that occur for each request or response; above a rate limit their lines are dropped. */
const SAMPLED_EVENTS: ReadonlySet<EventName> = new Set<EventName>([
  'request_accepted',
  'runner_limit_changed',
  'runner_room_changed',
  'runner_limit_malformed',
  'runner_rest_stated',
  'runner_statement_malformed',
  'runner_withheld',
  'runner_chosen',
  'attempt_ended',
  'request_waits',
  'answer_weighed',
  'request_answered',
  'caller_left',
  'stop_begun',
  'stop_refused',
]);
/** Failures that clients can cause without end; above a rate limit of their own their lines are dropped. */
const LIMITED_FAILURES: ReadonlySet<EventName> = new Set<EventName>([
  'request_refused',
  'request_ignored',
  'response_unread',
]);
/** Lines of these per second: more than a host in ordinary use refuses. */
const MAX_FAILURES_PER_SECOND = 200;
/**
 * Default limit of sampled lines per second: four a request at 100 requests a second, which is about eight times the
 * load of one host in a fleet of the design size.
 */
const MAX_SAMPLED_PER_SECOND = 400;
const SECOND_MS = 1_000;

/** Writes one JSON line per event; drops lines above a rate limit that come without end, and logs how many were dropped. */
export class EventLog {
  private currentSecond = 0;
  private sampledThisSecond = 0;
  private failuresThisSecond = 0;
  private droppedThisSecond = 0;
  private totalSampledOut = 0;

  constructor(private readonly options: Options) {}

  /** Lines dropped since the start, by the rate limit or because the reader was too slow. */
  get droppedLines(): number {
    return this.totalSampledOut + (this.options.sink.droppedLines ?? 0);
  }

  /** Writes an event with the time and this host's name. */
  write<N extends EventName>(event: N, fields: EventFields[N]): void {
    if (SAMPLED_EVENTS.has(event) && !this.admitSampledLine()) return;
    if (LIMITED_FAILURES.has(event) && !this.admitFailure()) return;
    this.writeLine(event, fields);
  }

  private writeLine(event: EventName, fields: object): void {
    const {clock, host, sink} = this.options;
    const time = new Date(clock.wall()).toISOString();
    const steadyMs = Math.round(clock.now());
    sink.write(JSON.stringify({time, steadyMs, host, event, ...fields}));
  }

  private admitSampledLine(): boolean {
    const {maxSampledPerSecond = MAX_SAMPLED_PER_SECOND} = this.options;
    this.updateSecond();
    this.sampledThisSecond += 1;
    return this.sampledThisSecond <= maxSampledPerSecond || this.dropLine();
  }

  private admitFailure(): boolean {
    this.updateSecond();
    this.failuresThisSecond += 1;
    return (
      this.failuresThisSecond <= MAX_FAILURES_PER_SECOND || this.dropLine()
    );
  }

  /** @returns false */
  private dropLine(): boolean {
    this.droppedThisSecond += 1;
    this.totalSampledOut += 1;
    return false;
  }

  private updateSecond(): void {
    const second = Math.floor(this.options.clock.now() / SECOND_MS);
    if (second !== this.currentSecond) this.startSecond(second);
  }

  private startSecond(second: number): void {
    const count = this.droppedThisSecond;
    this.currentSecond = second;
    this.sampledThisSecond = 0;
    this.failuresThisSecond = 0;
    this.droppedThisSecond = 0;
    if (count > 0) this.writeLine('lines_dropped', {count});
  }
}
