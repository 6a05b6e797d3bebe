import type {ServerResponse} from 'node:http';
import {Topic} from '../records/topic.js';
import type {GatewayFixture} from './gateway_fixture.js';
import {plainHeaderNames as names} from './plain_header_names.js';
import {ScriptedRunner} from './scripted_runner.js';

type ReceivedRequest = ScriptedRunner['received'][number];

/** The body of a request, and a time on the clock of `performance`, in ms. */
interface ReceivedBody {
  readonly body: string;
  readonly at: number;
}

interface Options {
  readonly fixture: GatewayFixture;
  readonly count: number;
  readonly service?: string;
  /** Prefix of the request bodies that crash a runner. */
  readonly fatalBody: string;
  /** Whether responses are streams, whose headers show that the request has started to run. */
  readonly isStreamed: boolean;
  /** Whether a fatal stream sends no head before the crash. */
  readonly sendsNoHead?: boolean;
  /** Whether a fatal stream sends an event before the crash, beside its head. */
  readonly sendsEvent?: boolean;
  /** Whether sound responses have neither a length nor chunks, and end with their connection. */
  readonly closesConnections?: boolean;
  /** Whether a crash closes no connection: open ones fall silent, and new ones are refused. */
  readonly isSilent?: boolean;
  /** Time that a sound response takes, in ms. */
  readonly responseDelayMs?: number;
  /** Time from a crash until another runner comes, in ms. */
  readonly restartDelayMs?: number;
  /** Time from a crash until the entry of the runner goes, in ms. */
  readonly noticeDelayMs?: number;
}

/** Time from the start of a fatal request to the crash, in ms: other requests that wait at the runner fail with it. */
const CRASH_DELAY_MS = 40;
const STREAMED_BODY = 'id: 1\ndata: a\n\n';
const WHOLE_BODY = 'whole';

/** Runners of one service that crash on certain requests and restart at once under new ids. */
export class CrashingRunners {
  /** Number of crashes so far. */
  crashCount = 0;
  /** Requests that crashed a runner, in order. */
  readonly crashes: ReceivedBody[] = [];
  /** All requests received, by current and former runners. */
  readonly arrivals: ReceivedBody[] = [];
  /** Bodies of requests that runners do not answer until they crash. */
  readonly unansweredBodies = new Set<string>();
  private readonly running = new Set<ScriptedRunner>();
  private started = 0;

  constructor(private readonly options: Options) {}

  /** Bodies of the requests that crashed a runner, in order. */
  get crashBodies(): readonly string[] {
    return this.crashes.map(({body}) => body);
  }

  /** Bodies of all requests received, by current and former runners. */
  get receivedBodies(): readonly string[] {
    return this.arrivals.map(({body}) => body);
  }

  /** Starts all runners. */
  async start(): Promise<void> {
    for (let i = 0; i < this.options.count; i++) await this.add();
  }

  private async add(): Promise<void> {
    const {fixture, service} = this.options;
    const id = `runner-${++this.started}`;
    const runner: ScriptedRunner = new ScriptedRunner({
      id,
      service,
      script: (request, response) => this.respond(runner, request, response),
    });
    this.running.add(runner);
    await fixture.addRunner(runner);
  }

  private respond(
    runner: ScriptedRunner,
    {id, body}: ReceivedRequest,
    response: ServerResponse,
  ): void {
    const {fatalBody, isStreamed, sendsNoHead, sendsEvent, closesConnections} =
      this.options;
    this.arrivals.push({body, at: performance.now()});
    const head = {[names.requestId]: id, [names.signature]: runner.entry.id};
    if (body.startsWith(fatalBody)) {
      if (isStreamed && !sendsNoHead)
        response.writeHead(200, head).flushHeaders();
      if (sendsEvent) response.write(STREAMED_BODY);
      setTimeout(() => void this.crash(runner, body), CRASH_DELAY_MS);
      return;
    }
    if (this.unansweredBodies.has(body)) return;
    response.useChunkedEncodingByDefault = !closesConnections;
    response.shouldKeepAlive = !closesConnections;
    const finish = () => {
      response.writeHead(200, head);
      response.end(isStreamed ? STREAMED_BODY : WHOLE_BODY);
    };
    const {responseDelayMs = 0} = this.options;
    if (responseDelayMs === 0) finish();
    else setTimeout(finish, responseDelayMs);
  }

  private async crash(runner: ScriptedRunner, body: string): Promise<void> {
    if (!this.running.delete(runner)) return;
    this.crashCount += 1;
    this.crashes.push({body, at: performance.now()});
    const {id} = runner.entry;
    if (this.options.isSilent) runner.endSilently();
    else runner.stop();
    const {fixture, noticeDelayMs = 0, restartDelayMs = 0} = this.options;
    if (restartDelayMs === 0) await this.add();
    else setTimeout(() => void this.add(), restartDelayMs).unref();
    await new Promise(resolve => setTimeout(resolve, noticeDelayMs).unref());
    fixture.store.put(Topic.RUNNERS, id);
  }
}
