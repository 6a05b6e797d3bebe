import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {hashAccessKey} from '@bayspool/decisions';
import {FaultProxy} from '@bayspool/standins';
import type {FleetEngine} from './fleet_engine.js';
import type {FleetHost} from './fleet_host.js';
import {fleetKeys} from './fleet_keys.js';
import type {FleetOptions} from './fleet_options.js';
import {freePort} from './free_port.js';
import {isReady} from './is_ready.js';
import {ManagedProcess} from './managed_process.js';
import {programPaths} from './program_paths.js';
import {waitUntil} from './wait_until.js';
import {writeSettings} from './write_settings.js';

type Sections = Record<string, Record<string, string>>;

const FAST: Sections = {
  peers: {
    interval: '250ms',
    'relay-interval': '400ms',
    'suspect-after': '4s',
    'place-suspect-after': '6s',
    timeout: '1s',
  },
  configuration: {poll: '1s', 'fresh-for': '5s'},
  leaving: {notice: '1500ms', 'roster-interval': '500ms'},
  billing: {flush: '500ms'},
  orders: {interval: '500ms', lease: '4s'},
  routing: {
    'poll-interval': '250ms',
    'connect-timeout': '500ms',
    stall: '3s',
    'eject-for': '1s',
    'slow-start': '1s',
  },
  ratings: {poll: '1s', 'step-least': '1s'},
};

/** Real processes on the loopback: the platform's stand-ins, engines, services and hosts, each behind a fault proxy. */
export class Fleet {
  readonly hosts: FleetHost[] = [];
  readonly engines: FleetEngine[] = [];
  readonly services: FleetEngine[] = [];
  readonly platform: Record<string, string> = {};
  private readonly processes: ManagedProcess[] = [];
  private readonly proxies: FaultProxy[] = [];
  private folder = '';

  constructor(private readonly options: FleetOptions) {}

  /** Starts everything and waits until all hosts are ready. */
  async start(): Promise<void> {
    this.folder = await mkdtemp(join(tmpdir(), 'bayspool-fleet-'));
    await writeFile(
      join(this.folder, 'seed.json'),
      JSON.stringify(this.options.seed),
    );
    await this.startPlatform();
    await this.startRunners();
    await this.prepareHosts();
    await Promise.all(this.hosts.map(host => this.startHost(host)));
  }

  /** Starts a host, again after it has ended; its addresses stay. */
  async startHost(host: FleetHost): Promise<void> {
    host.process = new ManagedProcess({
      name: host.id,
      args: [programPaths.daemon, '--settings', host.settingsFile],
    });
    this.processes.push(host.process);
    await host.process.line('running');
    await waitUntil(() => isReady(host), {what: `${host.id} ready`});
  }

  host(id: string): FleetHost {
    const host = this.hosts.find(candidate => candidate.id === id);
    if (!host) throw new Error(`the fleet has no host ${id}`);
    return host;
  }

  inPlace(place: string): FleetHost[] {
    return this.hosts.filter(host => host.place === place);
  }

  /** Ends every process and removes what was written. */
  async stop(): Promise<void> {
    await Promise.all(this.processes.map(process => process.kill()));
    await Promise.all(this.proxies.map(proxy => proxy.stop()));
    if (this.folder !== '')
      await rm(this.folder, {recursive: true, force: true});
  }

  private async startPlatform(): Promise<void> {
    const {logArgs, ratingArgs} = this.options;
    this.platform.log = await this.startStandin('log', logArgs);
    this.platform.rating = await this.startStandin('rating', ratingArgs);
    this.platform.roster = await this.startStandin('roster', []);
    this.platform.weights = await this.startStandin('weights', [
      '--loads-per-minute=6000',
    ]);
  }

  private async startRunners(): Promise<void> {
    const {places, versions, engineArgs = [], serviceArgs = []} = this.options;
    for (const [place, {engines, services = 1}] of Object.entries(places)) {
      for (let index = 1; index <= engines; index++) {
        const id = `${place}-engine-${index}`;
        const args = [
          `--id=${id}`,
          `--versions=${versions.join(',')}`,
          ...engineArgs,
        ];
        this.engines.push(await this.startRunner('engine', id, place, args));
      }
      for (let index = 1; index <= services; index++) {
        this.services.push(
          await this.startRunner(
            'service',
            `${place}-registry-${index}`,
            place,
            serviceArgs,
          ),
        );
      }
    }
  }

  private async startRunner(
    kind: string,
    id: string,
    place: string,
    args: readonly string[],
  ): Promise<FleetEngine> {
    const process = this.spawnStandin(kind, args);
    const address = String((await process.line('listening')).address);
    const proxy = await this.proxyTo(address);
    return {
      id,
      place,
      address,
      proxy: proxy.proxy,
      proxyAddress: proxy.address,
      process,
    };
  }

  private async startStandin(
    kind: string,
    args: readonly string[] = [],
  ): Promise<string> {
    return String(
      (await this.spawnStandin(kind, args).line('listening')).address,
    );
  }

  private spawnStandin(kind: string, args: readonly string[]): ManagedProcess {
    const process = new ManagedProcess({
      name: kind,
      args: [programPaths.standin, kind, ...args],
    });
    this.processes.push(process);
    return process;
  }

  private async proxyTo(
    target: string,
    listen?: string,
  ): Promise<{proxy: FaultProxy; address: string}> {
    const proxy = new FaultProxy({target, listen});
    this.proxies.push(proxy);
    return {proxy, address: await proxy.start()};
  }

  private async prepareHosts(): Promise<void> {
    const seats = Object.entries(this.options.places).flatMap(
      ([place, {hosts}], placeIndex) =>
        Array.from({length: hosts}, (_, index) => ({
          place,
          id: `${place}-${index + 1}`,
          source: `127.0.${placeIndex + 1}.${index + 1}`,
        })),
    );
    const drafts = await Promise.all(seats.map(seat => this.draftHost(seat)));
    const seeds = drafts
      .map(draft => draft.sections.host['peer-address'])
      .join(',');
    for (const {host, sections} of drafts) {
      const text = writeSettings(FAST, this.options.settings ?? {}, sections, {
        peers: {seeds, source: host.source},
      });
      await writeFile(host.settingsFile, text);
      this.hosts.push(host);
    }
  }

  private async draftHost(seat: {
    place: string;
    id: string;
    source: string;
  }): Promise<{host: FleetHost; sections: Sections}> {
    const {place, id, source} = seat;
    const [peer, caller, operator] = await Promise.all([
      freePort(),
      freePort(),
      freePort(),
    ]);
    const peers = await this.proxyTo(`127.0.0.1:${peer}`, `${source}:0`);
    const log = await this.proxyTo(this.platform.log);
    const host: FleetHost = {
      id,
      place,
      source,
      callerAddress: `127.0.0.1:${caller}`,
      operatorAddress: `127.0.0.1:${operator}`,
      settingsFile: join(this.folder, `${id}.ini`),
      peerProxy: peers.proxy,
      logProxy: log.proxy,
      process: undefined,
    };
    const sections = {
      host: {
        id,
        place,
        'peer-address': peers.address,
        'peer-listen': `127.0.0.1:${peer}`,
      },
      secrets: {sessions: fleetKeys.sessions, cluster: fleetKeys.cluster},
      platform: {
        ...this.platform,
        kind: 'http',
        log: log.address,
        timeout: '1s',
      },
      configuration: {seed: join(this.folder, 'seed.json')},
      callers: {listen: host.callerAddress},
      operators: {listen: host.operatorAddress},
      'operator fleet': {'key-hash': hashAccessKey(fleetKeys.operator)},
      limits: {
        fleet: String(
          Object.values(this.options.places).reduce(
            (sum, item) => sum + item.hosts,
            0,
          ),
        ),
      },
      ...this.runnerSections(),
    };
    return {host, sections};
  }

  private runnerSections(): Sections {
    const engines = this.engines.map(({id, place, proxyAddress}) => [
      `runner ${id}`,
      {place, address: proxyAddress},
    ]);
    const services = this.services.map(({id, place, proxyAddress}) => [
      `service-runner ${id}`,
      {place, address: proxyAddress, service: 'core-registry'},
    ]);
    return Object.fromEntries([...engines, ...services]);
  }
}
