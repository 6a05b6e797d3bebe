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
  /** How the bodies of requests begin under which a runner ends. */
  readonly fatalBody: string;
  /** Whether answers are streams: the head of one tells that its run has begun. */
  readonly isStreamed: boolean;
}

/** Time from the begin of the fatal run to the end of its runner, in ms: what else waits there ends with it. */
const FATAL_MS = 40;

/** Runners of one service that end when they run a certain request, and come back at once under other ids. */
export class MortalRunners {
  /** Runners that have ended so far. */
  ended = 0;
  /** Bodies of the requests that arrived, at all runners that ever ran. */
  readonly arrivals: string[] = [];
  /** Bodies of requests that runners leave waiting until they end. */
  readonly waiting = new Set<string>();
  private readonly running = new Set<ScriptedRunner>();
  private started = 0;

  constructor(private readonly options: Options) {}

  /** Starts all of them. */
  async start(): Promise<void> {
    for (let i = 0; i < this.options.count; i++) await this.add();
  }

  private async add(): Promise<void> {
    const {fixture, service} = this.options;
    const id = `runner-${++this.started}`;
    const runner: ScriptedRunner = new ScriptedRunner({
      id,
      service,
      script: (request, response) => this.answer(runner, request, response),
    });
    this.running.add(runner);
    await fixture.addRunner(runner);
  }

  private answer(
    runner: ScriptedRunner,
    {id, body}: ReceivedRequest,
    response: ServerResponse,
  ): void {
    const {fatalBody, isStreamed} = this.options;
    this.arrivals.push(body);
    const head = {[names.requestId]: id, [names.signature]: runner.entry.id};
    if (body.startsWith(fatalBody)) {
      if (isStreamed) response.writeHead(200, head).flushHeaders();
      setTimeout(() => void this.end(runner), FATAL_MS);
      return;
    }
    if (this.waiting.has(body)) return;
    response.writeHead(200, head);
    response.end(isStreamed ? 'id: 1\ndata: a\n\n' : 'whole');
  }

  private async end(runner: ScriptedRunner): Promise<void> {
    if (!this.running.delete(runner)) return;
    this.ended += 1;
    const {id} = runner.entry;
    runner.stop();
    await this.add();
    this.options.fixture.store.put(Topic.RUNNERS, id);
  }
}
