import type {CallerResult} from './caller_result.js';
import type {CrashingRunners} from './crashing_runners.js';
import type {GatewayFixture} from './gateway_fixture.js';
import {plainHeaderNames as names} from './plain_header_names.js';

interface Options {
  readonly fixture: GatewayFixture;
  readonly runners: CrashingRunners;
  /** Prefix of the bodies of requests that crash runners. */
  readonly fatalBody: string;
  /** The shared parts of fatal requests; each list is used in turn. */
  readonly fatalParts: ReadonlyArray<readonly string[]>;
  /** The shared parts of sound requests. */
  readonly soundParts: readonly string[];
  readonly fatalIntervalMs?: number;
  readonly soundIntervalMs?: number;
  /** Chooses the host of a request by its number. */
  readonly hostOf: (request: number) => number;
}

/** A sound request's response, and when it was sent. */
interface SoundResult extends CallerResult {
  readonly sentAt: number;
}

/** What runners received of the requests with one of the fatal parts. */
interface FatalPart {
  /** Prefix of the bodies of its requests. */
  readonly body: string;
  /** When hosts had enough crashes to know the part. */
  crashedAt: number;
  /** Requests that runners had received by the time at which hosts had to know it. */
  receivedBefore: number;
}

/** Crashes after which hosts have to know the part. */
const CRASHES = 5;
/** Time after these crashes from which requests count as sent later, in ms. */
const LATER_AFTER_MS = 3_000;
const NO_RESPONSE = {
  status: 0,
  headers: {},
  body: '',
  isComplete: false,
  durationMs: 0,
};

/** Sends fatal requests, no two alike, and sound ones that share parts with them, and counts what reaches runners too late. */
export class FatalPartLoad {
  readonly fatal: CallerResult[] = [];
  readonly sound: SoundResult[] = [];
  private readonly parts: readonly FatalPart[];
  private sent = 0;
  private crashCount = 0;
  private lastCrashAt = Infinity;

  constructor(private readonly options: Options) {
    this.parts = options.fatalParts.map((_, i) => ({
      body: `${options.fatalBody}-part${i}-`,
      crashedAt: Infinity,
      receivedBefore: Infinity,
    }));
  }

  /** The most requests with one part that runners received after hosts had to know it. */
  get receivedLater(): number {
    const later = this.parts.map(
      ({body, receivedBefore}) => this.countReceived(body) - receivedBefore,
    );
    return Math.max(0, ...later);
  }

  /** When hosts had enough crashes to know all parts, on the clock of `performance`; with fewer, when the last crash came. */
  get crashedAt(): number {
    const known = this.parts.map(({crashedAt}) => crashedAt);
    const last = Math.max(...known);
    return last === Infinity ? this.lastCrashAt : last;
  }

  /** Sends both kinds of requests for some time, and waits for all responses. */
  async run(forMs: number): Promise<void> {
    const {fatalIntervalMs = 250, soundIntervalMs = 60} = this.options;
    const until = performance.now() + forMs;
    await Promise.all([
      this.sendFatal(until, fatalIntervalMs),
      this.sendSound(until, soundIntervalMs),
    ]);
  }

  private async sendFatal(until: number, intervalMs: number): Promise<void> {
    const {fatalParts} = this.options;
    const calls: Array<Promise<unknown>> = [];
    for (let i = 0; performance.now() < until; i++) {
      const index = i % fatalParts.length;
      const call = this.send(this.parts[index].body, fatalParts[index]);
      calls.push(call.then(result => this.fatal.push(result)));
      await sleep(intervalMs);
      this.updateTimes();
    }
    await Promise.all(calls);
  }

  private async sendSound(until: number, intervalMs: number): Promise<void> {
    const calls: Array<Promise<unknown>> = [];
    while (performance.now() < until) {
      const sentAt = performance.now();
      const call = this.send('sound', this.options.soundParts);
      calls.push(call.then(result => this.sound.push({...result, sentAt})));
      await sleep(intervalMs);
      this.updateTimes();
    }
    await Promise.all(calls);
  }

  private updateTimes(): void {
    const now = performance.now();
    const {crashBodies, crashCount} = this.options.runners;
    if (crashCount > this.crashCount) this.lastCrashAt = now;
    this.crashCount = crashCount;
    for (const part of this.parts) {
      const crashes = crashBodies.filter(body => body.startsWith(part.body));
      if (crashes.length >= CRASHES)
        part.crashedAt = Math.min(part.crashedAt, now);
      if (now < part.crashedAt + LATER_AFTER_MS) continue;
      const received = this.countReceived(part.body);
      part.receivedBefore = Math.min(part.receivedBefore, received);
    }
  }

  private countReceived(prefix: string): number {
    const {receivedBodies} = this.options.runners;
    return receivedBodies.filter(body => body.startsWith(prefix)).length;
  }

  /** Sends a request with these parts and one of its own; a broken connection gives status 0. */
  private send(kind: string, parts: readonly string[]): Promise<CallerResult> {
    const {fixture, hostOf} = this.options;
    this.sent += 1;
    const all = [...parts, `own${this.sent}`].map(id => `${id}:100`).join(',');
    const call = fixture.call({
      host: hostOf(this.sent),
      body: `${kind}-${this.sent}`,
      headers: {[names.promptSize]: '300,10', [names.promptParts]: all},
    });
    return call.catch(() => NO_RESPONSE);
  }
}

function sleep(forMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, forMs));
}
