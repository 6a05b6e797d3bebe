import {Readable} from 'node:stream';
import {daemonTokens, pluginRegistry} from '@bayspool/daemon';
import {
  hashAccessKey,
  type Configuration,
  type ServiceRunner,
  type RatingService,
  type Runner,
} from '@bayspool/decisions';
import {
  Kernel,
  SeededRandom,
  Settings,
  SourceText,
  type Clock,
  type Plugin,
} from '@bayspool/kernel';
import type {MemoryLog, PackApp} from '@bayspool/standins';
import {fleetKeys} from '../fleet/fleet_keys.js';
import {FaultyLog} from './faulty_log.js';
import {GatedClock} from './gated_clock.js';
import {HostGate} from './host_gate.js';
import type {Mesh} from './mesh.js';

interface Options {
  readonly id: string;
  readonly place: string;
  readonly address: string;
  readonly seeds: readonly string[];
  readonly fleet: number;
  readonly seed: number;
  readonly wallErrorMs: number;
  readonly seedFile: string;
  readonly clock: Clock;
  readonly log: MemoryLog;
  readonly mesh: Mesh;
  readonly rating: RatingService;
  readonly packApp: PackApp;
  /** The engines as this host reaches them. */
  readonly runners: (
    gate: HostGate,
    config: () => Configuration,
  ) => readonly Runner[];
}

const REPLACED = new Set([
  'platform-http',
  'platform-embedded',
  'runners-http',
  'runners-embedded',
]);
const DOORS = new Set(['peer door', 'caller door', 'operator door']);
const SILENT = {
  error: () => undefined,
  warn: () => undefined,
  info: () => undefined,
  debug: () => undefined,
};

/** The daemon with all its plug-ins, on a virtual clock and with small fakes at its interfaces; its doors stay shut. */
export class FuzzHost {
  readonly gate = new HostGate();
  readonly log: FaultyLog;
  readonly kernel: Kernel;

  constructor(readonly options: Options) {
    this.log = new FaultyLog(options.log, this.gate);
    const plugins = pluginRegistry
      .all()
      .filter(plugin => !REPLACED.has(plugin.name));
    this.kernel = new Kernel({
      settings: new Settings(
        new SourceText(`${options.id}.ini`, settingsText(options)),
      ),
      plugins: [this.fakes(), ...plugins],
      program: options.id,
      clock: new GatedClock(options.clock, this.gate, options.wallErrorMs),
      random: new SeededRandom(options.seed),
      logger: SILENT,
      starts: service => !DOORS.has(service.name),
    });
    options.mesh.join(options.address, {
      place: options.place,
      gate: this.gate,
      receive: message =>
        this.kernel.container
          .get(daemonTokens.peerMessageHandler)
          .handle(message),
    });
  }

  get config(): Configuration {
    return this.kernel.container.get(daemonTokens.configurationStore).current;
  }

  /** Begins to run; not waited for, since a start waits for peers. */
  start(): void {
    void this.kernel.start();
  }

  /** Leaves in good order. */
  async leave(): Promise<void> {
    this.kernel.container.get(daemonTokens.leavingState).beginShutdown();
    await this.kernel.stop();
    this.gate.kill();
  }

  private fakes(): Plugin {
    const {options, gate} = this;
    return {
      name: 'fakes',
      sections: [
        ...pluginRegistry
          .all()
          .filter(plugin => plugin.name === 'runners-http')
          .flatMap(plugin => plugin.sections),
      ],
      install: container => {
        container.bind(daemonTokens.log).toConstantValue(this.log);
        container.bind(daemonTokens.ratingService).toConstantValue({
          submit: sample => gate.pass(options.rating.submit(sample)),
          fetchResults: (host, after, waitMs, signal) =>
            gate.pass(options.rating.fetchResults(host, after, waitMs, signal)),
        });
        container.bind(daemonTokens.peerTransport).toConstantValue({
          send: (address, message, {timeoutMs}) =>
            gate.pass(
              options.mesh.send(options.place, address, message, timeoutMs),
            ),
        });
        const runners = options.runners(gate, () => this.config);
        runners.forEach(runner =>
          container.bind(daemonTokens.runner).toConstantValue(runner),
        );
        container
          .bind(daemonTokens.serviceRunner)
          .toConstantValue(this.registry());
      },
    };
  }

  private registry(): ServiceRunner {
    const {options, gate} = this;
    return {
      id: 'registry',
      service: 'core-registry',
      place: options.place,
      call: async request => {
        const answer = await gate.pass(options.packApp.handle(request));
        return {...answer, body: Readable.from([answer.body])};
      },
    };
  }
}

function settingsText({
  id,
  place,
  address,
  seeds,
  fleet,
  seedFile,
}: Options): string {
  return `
[host]
id = ${id}
place = ${place}
peer-address = ${address}
[secrets]
sessions = ${fleetKeys.sessions}
cluster = ${fleetKeys.cluster}
[configuration]
seed = ${seedFile}
snapshot-every = 30s
[peers]
seeds = ${seeds.join(',')}
[limits]
fleet = ${fleet}
[leaving]
notice = 1s
[callers]
listen = 127.0.0.1:0
service-deadline = 5s
[operators]
listen = 127.0.0.1:0
[operator fuzz]
key-hash = ${hashAccessKey(fleetKeys.operator)}
`;
}
