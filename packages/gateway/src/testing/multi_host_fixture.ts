import type {IncomingHttpHeaders, ServerResponse} from 'node:http';
import type {CallRoute} from '@bayspool/decisions/calls';
import type {CallerResult} from './caller_result.js';
import {GatewayFixture} from './gateway_fixture.js';
import {plainHeaderNames as names} from './plain_header_names.js';
import {ScriptedRunner} from './scripted_runner.js';

interface Options {
  /** Places of the hosts and runners, assigned in turn. */
  readonly places?: readonly string[];
  /** Version of the last runner. */
  readonly lastVersion?: string;
  readonly route?: Partial<CallRoute>;
  /** Routes in place of the one. */
  readonly routes?: ReadonlyArray<Partial<CallRoute>>;
  readonly script?: Script;
  /** Whether hosts open their connections to runners through their `dialer`. */
  readonly hasFaultyLinks?: boolean;
}

interface CallOptions {
  readonly forMs: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Time between two calls, over all hosts, in ms. */
  readonly pauseMs?: number;
  /** The hosts that are called; all if absent. */
  readonly hosts?: readonly number[];
}

/** A request that arrived at a runner. */
interface Arrival {
  readonly request: string;
  /** The host that sent it to the runner. */
  readonly host: string;
  /** Time at which the caller sent it to the host, in ms. */
  readonly sentAt: number;
  /** Time of the arrival, in ms. */
  readonly at: number;
}

/** A request at a runner, for its script. */
interface RunnerCall extends Arrival {
  readonly runner: string;
  readonly headers: IncomingHttpHeaders;
  /** Closes the connection. */
  readonly disconnect: () => void;
}

/** A response that a caller received. */
interface Answer extends CallerResult {
  readonly request: string;
  readonly host: string;
  /** Time of its end, in ms. */
  readonly endedAt: number;
}

type Script = (call: RunnerCall, response: ServerResponse) => void;

const HOSTS = 4;
const ALL_HOSTS = Array.from({length: HOSTS}, (_, i) => i);
const RUNNERS = 4;
const CALL_PAUSE_MS = 25;
const HOST_HEADER = 'x-by';
const SENT_AT_HEADER = 'x-sent-at';

/**
 * Hosts that share their runners, callers that call all hosts in turn, and a record of what arrived
 * where.
 */
export class MultiHostFixture {
  readonly gateways: GatewayFixture;
  readonly runners: ScriptedRunner[];
  readonly answers: Answer[] = [];
  /** Responds for all runners. */
  script: Script;
  private readonly arrivals = new Map<string, Arrival[]>();
  private sent = 0;

  constructor(private readonly options: Options = {}) {
    this.gateways = new GatewayFixture(options);
    this.script = options.script ?? sendWhole;
    this.runners = Array.from({length: RUNNERS}, (_, i) =>
      this.createRunner({
        id: `i-${i}`,
        place: this.placeOf(i),
        version: i === RUNNERS - 1 ? options.lastVersion : undefined,
      }),
    );
  }

  async start(): Promise<void> {
    const {gateways, runners, options} = this;
    gateways.configure(options.routes ?? [options.route ?? {}]);
    for (const runner of runners) await gateways.addRunner(runner);
    for (let i = 0; i < HOSTS; i++)
      await gateways.startHost({place: this.placeOf(i)});
    for (let i = 0; i < HOSTS; i++) await gateways.waitReady(i);
    await gateways.waitFor(
      () => gateways.events('peer_seen').length >= HOSTS * (HOSTS - 1),
    );
  }

  stop(): Promise<void> {
    return this.gateways.stop();
  }

  /** Creates a runner that uses the script of all. */
  createRunner(options: {
    readonly id: string;
    readonly place?: string;
    readonly version?: string;
  }): ScriptedRunner {
    return new ScriptedRunner({
      ...options,
      script: ({id: request, headers, socket}, response) => {
        const arrival = {
          request,
          host: String(headers[HOST_HEADER]),
          sentAt: Number(headers[SENT_AT_HEADER]),
          at: performance.now(),
        };
        this.arrivalsAt(options.id).push(arrival);
        const disconnect = () => void socket.destroy();
        const runner = options.id;
        this.script({...arrival, runner, headers, disconnect}, response);
      },
    });
  }

  /** All arrivals at a runner, in order. */
  arrivalsAt(runner: string): Arrival[] {
    const known = this.arrivals.get(runner);
    if (known) return known;
    const arrivals: Arrival[] = [];
    this.arrivals.set(runner, arrivals);
    return arrivals;
  }

  /** Sends calls to all hosts in turn for the given time. */
  async callFor({
    forMs,
    headers,
    body,
    pauseMs = CALL_PAUSE_MS,
    hosts = ALL_HOSTS,
  }: CallOptions): Promise<Answer[]> {
    const until = performance.now() + forMs;
    const answers: Array<Promise<Answer>> = [];
    for (let i = 0; performance.now() < until; i++) {
      answers.push(this.callOnce(hosts[i % hosts.length], headers, body));
      await new Promise(resolve => setTimeout(resolve, pauseMs));
    }
    return Promise.all(answers);
  }

  /** Sends one call to a host. */
  async callOnce(
    host: number,
    headers?: CallOptions['headers'],
    body?: string,
  ): Promise<Answer> {
    const request = `call-${++this.sent}`;
    const name = this.gateways.hosts[host].settings.host;
    const result = await this.gateways.call({
      host,
      body,
      headers: {
        [names.requestId]: request,
        [HOST_HEADER]: name,
        [SENT_AT_HEADER]: String(performance.now()),
        ...headers,
      },
    });
    const endedAt = performance.now();
    const answer = {...result, request, host: name, endedAt};
    this.answers.push(answer);
    return answer;
  }

  private placeOf(index: number): string {
    const {places = ['a', 'b']} = this.options;
    return places[index % places.length];
  }
}

function sendWhole(
  {request, runner}: RunnerCall,
  response: ServerResponse,
): void {
  const head = {[names.requestId]: request, [names.signature]: runner};
  response.writeHead(200, head).end('whole');
}
