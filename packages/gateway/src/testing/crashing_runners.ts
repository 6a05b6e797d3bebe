import type {ServerResponse} from 'node:http';
import {Topic} from '../records/topic.js';
import type {GatewayFixture} from './gateway_fixture.js';
import {plainHeaderNames as names} from './plain_header_names.js';
import {ScriptedRunner} from './scripted_runner.js';

type ReceivedRequest = ScriptedRunner['received'][number];

interface Options {
  readonly fixture: GatewayFixture;
  readonly count: number;
  readonly service?: string;
  /** Prefix of the request bodies that crash a runner. */
  readonly fatalBody: string;
  /** Whether responses are streams, whose headers show that the request has started to run. */
  readonly isStreamed: boolean;
}

/** Time from the start of a fatal request to the crash, in ms: other requests that wait at the runner fail with it. */
const CRASH_DELAY_MS = 40;

/** Runners of one service that crash on certain requests and restart at once under new ids. */
export class CrashingRunners {
  /** Number of crashes so far. */
  crashCount = 0;
  /** Bodies of all requests received, by current and former runners. */
  readonly receivedBodies: string[] = [];
  /** Bodies of requests that runners do not answer until they crash. */
  readonly unansweredBodies = new Set<string>();
  private readonly running = new Set<ScriptedRunner>();
  private started = 0;

  constructor(private readonly options: Options) {}

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
    const {fatalBody, isStreamed} = this.options;
    this.receivedBodies.push(body);
    const head = {[names.requestId]: id, [names.signature]: runner.entry.id};
    if (body.startsWith(fatalBody)) {
      if (isStreamed) response.writeHead(200, head).flushHeaders();
      setTimeout(() => void this.crash(runner), CRASH_DELAY_MS);
      return;
    }
    if (this.unansweredBodies.has(body)) return;
    response.writeHead(200, head);
    response.end(isStreamed ? 'id: 1\ndata: a\n\n' : 'whole');
  }

  private async crash(runner: ScriptedRunner): Promise<void> {
    if (!this.running.delete(runner)) return;
    this.crashCount += 1;
    const {id} = runner.entry;
    runner.stop();
    await this.add();
    this.options.fixture.store.put(Topic.RUNNERS, id);
  }
}
