import {Agent, request as startRequest} from 'node:http';
import {CallKind} from '@bayspool/decisions/calls';
import type {CallRoute, ApiKeyOwner} from '@bayspool/decisions/calls';
import {AgeClock, SeededRandom, SystemClock} from '@bayspool/kernel';
import {Gateway} from '../gateway.js';
import type {GatewaySettings} from '../gateway_settings.js';
import {EventLog} from '../observability/event_log.js';
import {Topic} from '../records/topic.js';
import type {CallerResult} from './caller_result.js';
import {FaultyDialer} from './faulty_dialer.js';
import {findPorts} from './find_ports.js';
import {MemoryRecordStore} from './memory_record_store.js';
import {plainHeaderNames as names} from './plain_header_names.js';
import {PlainReader} from './plain_reader.js';
import type {ScriptedRunner} from './scripted_runner.js';

interface CallOptions {
  readonly path?: string;
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly agent?: Agent;
  /** Closes the connection after this time, in ms. */
  readonly disconnectAfterMs?: number;
  readonly host?: number;
  /** Sends the headers but no body. */
  readonly sendsHeadersOnly?: boolean;
  /** Pauses reading the response body for this time, in ms. */
  readonly pauseReadingMs?: number;
}

interface Options {
  /** Whether hosts open their connections to runners through their `dialer`. */
  readonly hasFaultyLinks?: boolean;
}

interface Host {
  /** Simulates a suspension of the host's machine for this long, in ms. */
  readonly suspend: (forMs: number) => void;
  readonly gateway: Gateway;
  /** The links of this host to runners. */
  readonly dialer: FaultyDialer;
  readonly store: MemoryRecordStore;
  readonly settings: GatewaySettings;
}

/** What the fixture needs of a runner. */
type FixtureRunner = Pick<ScriptedRunner, 'entry' | 'start' | 'stop'>;

/** A line of the log, as an object. */
type Line = Readonly<Record<string, unknown>> & {readonly event: string};

const HOST_NAME = 'calls.example';
const POLL_INTERVAL_MS = 10;
const WAIT_TIMEOUT_MS = 5_000;

let nextRequest = 1;

/** Gateways on loopback with an in-memory store, and a client that calls them. */
export class GatewayFixture {
  readonly store = new MemoryRecordStore();
  readonly hosts: Host[] = [];
  readonly lines: Line[] = [];
  private readonly runners = new Set<FixtureRunner>();
  private version = 0;
  private isStopped = false;

  constructor(private readonly options: Options = {}) {}

  /** Starts a host. Pass a store other than the shared one to partition the host from the rest. */
  async startHost(
    overrides: Partial<GatewaySettings> = {},
    store = this.store,
  ): Promise<Host> {
    const host = await this.createHost(overrides, store);
    await host.gateway.start();
    return host;
  }

  /** Creates a host that is not started. */
  async createHost(
    overrides: Partial<GatewaySettings> = {},
    store = this.store,
  ): Promise<Host> {
    const [callerPort, readinessPort, peerPort, metricsPort, relayPort] =
      await findPorts(5);
    const settings: GatewaySettings = {
      host: `host-${this.hosts.length + 1}`,
      place: 'a',
      regionOf: {},
      ip: '127.0.0.1',
      capacity: 1,
      callerPort,
      readinessPort,
      readinessPath: '/ready',
      peerPort,
      relayPort,
      seeds: [],
      isFirstStart: false,
      metricsPort,
      metricsPath: '/metrics',
      graceMs: 3_000,
      keyBoundMs: 5_000,
      honoursStaleKeys: false,
      configurationBoundMs: 2_000,
      sessionKeptMs: 2_000,
      retryRatio: 0.9,
      retryExtra: 40,
      retryWindowMs: 10_000,
      exposureShare: 0.15,
      exposureCalls: 30,
      coldOverage: 1.5,
      coldSlack: 5,
      limitOverage: 1.5,
      limitSlack: 5,
      limitWindowMs: 4_000,
      maxHeldBytes: 200_000_000,
      ...overrides,
    };
    const clock = new SystemClock();
    let suspendedMs = 0;
    const timeOfDay = () => Date.now() + suspendedMs;
    const ageClock = new AgeClock({clock, timeOfDay});
    const sink = {
      write: (line: string) => void this.lines.push(JSON.parse(line) as Line),
    };
    const dialer = new FaultyDialer();
    const gateway = new Gateway({
      dialer: this.options.hasFaultyLinks ? dialer : undefined,
      settings,
      clock,
      ageClock,
      store,
      random: new SeededRandom(this.hosts.length + 1),
      log: new EventLog({clock, host: settings.host, sink}),
      reader: new PlainReader(),
      headerNames: names,
    });
    const suspend = (forMs: number) => {
      suspendedMs += forMs;
    };
    const host = {gateway, dialer, store, settings, suspend};
    this.hosts.push(host);
    return host;
  }

  /** Starts one host that serves one route with these runners, and waits until it is ready. */
  async serve(
    route: Partial<CallRoute>,
    runners: readonly FixtureRunner[],
    overrides: Partial<GatewaySettings> = {},
  ): Promise<void> {
    this.configure([route]);
    for (const runner of runners) await this.addRunner(runner);
    await this.startHost(overrides);
    await this.waitReady();
  }

  /** Writes a configuration with these routes to the store. */
  configure(
    routes: ReadonlyArray<Partial<CallRoute>>,
    keys?: Readonly<Record<string, ApiKeyOwner>>,
    extra: {
      readonly coldCallsPerSecond?: number;
      readonly idleTimeoutMs?: number;
    } = {},
  ): void {
    const {idleTimeoutMs = 15_000, coldCallsPerSecond} = extra;
    this.version += 3;
    this.store.put(Topic.OPERATOR, 'configuration', {
      version: this.version,
      routes: routes.map(toRoute),
      maxConnections: {svc: 100, llm: 100},
      limits: {
        headerBytes: 16_384,
        bodyBytes: 100_000,
        headerTimeoutMs: 3_000,
        idleTimeoutMs,
      },
      keys,
      coldCallsPerSecond,
    });
  }

  /** Starts a runner and writes its entry, unless this fixture is stopped meanwhile. */
  async addRunner(runner: FixtureRunner): Promise<void> {
    await runner.start();
    if (this.isStopped) return runner.stop();
    this.runners.add(runner);
    this.store.put(Topic.RUNNERS, runner.entry.id, runner.entry);
  }

  /** Waits until a host is ready. */
  async waitReady(index = 0): Promise<void> {
    await this.waitFor(async () => (await this.fetchReadiness(index)) === 200);
  }

  async fetchReadiness(index = 0): Promise<number> {
    const {readinessPort} = this.hosts[index].settings;
    const response = await fetch(`http://127.0.0.1:${readinessPort}/ready`);
    return response.status;
  }

  /** Waits for a condition; fails if it does not hold in time. */
  async waitFor(condition: () => boolean | Promise<boolean>): Promise<void> {
    const deadline = performance.now() + WAIT_TIMEOUT_MS;
    while (!(await condition())) {
      if (performance.now() > deadline)
        throw new Error(`timed out waiting for ${condition.toString()}`);
      await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }

  /** Log lines of one event. */
  events(event: string): Line[] {
    return this.lines.filter(line => line.event === event);
  }

  call(options: CallOptions = {}): Promise<CallerResult> {
    const {path = '/x/1', method = 'POST', headers = {}, body = ''} = options;
    const {settings} = this.hosts[options.host ?? 0];
    const startedAt = performance.now();
    return new Promise((resolve, reject) => {
      const outgoing = startRequest({
        agent: options.agent ?? false,
        host: '127.0.0.1',
        port: settings.callerPort,
        method,
        path,
        headers: {
          host: HOST_NAME,
          [names.requestId]: `r-${nextRequest++}`,
          [names.deadline]: '5000',
          ...headers,
        },
      });
      outgoing.once('error', reject);
      outgoing.once('response', response => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        if (options.pauseReadingMs !== undefined) {
          response.pause();
          setTimeout(() => response.resume(), options.pauseReadingMs);
        }
        response.once('error', () => undefined);
        response.once('close', () =>
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: Buffer.concat(chunks).toString(),
            isComplete: response.complete,
            durationMs: performance.now() - startedAt,
          }),
        );
      });
      if (options.sendsHeadersOnly) outgoing.flushHeaders();
      else outgoing.end(body);
      if (options.disconnectAfterMs !== undefined)
        setTimeout(() => outgoing.destroy(), options.disconnectAfterMs);
    });
  }

  /** Returns a request as sent on the wire, with the port of the host that takes it. */
  describeCall(host = 0): {readonly port: number; readonly request: string} {
    const head = [
      'POST /x/1 HTTP/1.1',
      `host: ${HOST_NAME}`,
      `${names.requestId}: r-${nextRequest++}`,
      `${names.deadline}: 5000`,
      'content-length: 0',
    ];
    const request = `${head.join('\r\n')}\r\n\r\n`;
    return {port: this.hosts[host].settings.callerPort, request};
  }

  /** Stops all hosts and runners, so that nothing keeps running after a failed test. */
  async stop(): Promise<void> {
    this.isStopped = true;
    for (const {gateway} of this.hosts) gateway.stopImmediately();
    for (const {dialer} of this.hosts) await dialer.stop();
    for (const runner of this.runners) runner.stop();
  }
}

function toRoute(part: Partial<CallRoute>): CallRoute {
  return {
    name: 'r',
    hostName: HOST_NAME,
    pathPrefix: '/x/',
    kind: CallKind.SAFE,
    timeLimitMs: 2_000,
    latencyTargetMs: 1_000,
    pauseTargetMs: 500,
    priority: 1,
    attempts: 3,
    isPublic: true,
    models: [],
    targets: [{service: 'svc', weight: 1}],
    ...part,
  };
}
