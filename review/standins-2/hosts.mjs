/* global URL, fetch, performance, process, setTimeout */
// Starts the project's program as processes, with the command of the deploy file.
import {spawn} from 'node:child_process';
import {readFileSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {join} from 'node:path';

const ROOT = new URL('../..', import.meta.url).pathname;

/** Reads the command of the only role. */
function readCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, line] = /^run = "(.*)"$/m.exec(text);
  return line.split(' ');
}

async function findPorts(ip, count) {
  const servers = [];
  for (let i = 0; i < count; i++) {
    const server = createServer();
    await new Promise(done => server.listen(0, ip, done));
    servers.push(server);
  }
  const ports = servers.map(server => server.address().port);
  await Promise.all(servers.map(s => new Promise(done => s.close(done))));
  return ports;
}

/** The bounds of a small deployment, as the settings show them. */
export const bounds = {
  'seed-lag-s': 3,
  'reuse-after-s': 2,
  'contact-ms': 3000,
  'ack-ms': 4000,
  'catch-up-s': 4,
  'drain-ms': 2000,
  'grace-s': 8,
  'loss-slack-ms': 200,
  'config-ms': 2000,
  'downgrade-ms': 250,
  'outer-ms': 5000,
  'strict-revoke': true,
  'revoke-ms': 5000,
  'retry-ratio': 0.9,
  'retry-window-s': 10,
  'retry-extra': 54,
  'canary-share': 0.15,
  'canary-slack': 30,
  'rollback-ms': 5000,
  'recover-s': 12,
  'iter-ms': 120,
  'retry-after-s': 8.8,
  'session-s': 5,
};

export class Host {
  output = '';

  constructor({name, ip, zone, zones, folder}) {
    Object.assign(this, {name, ip, zone, zones, folder});
  }

  /** Finds the ports; the settings of the others need the one for `admin`. */
  async prepare() {
    [this.http, this.readiness, this.admin, this.firstPort] = await findPorts(
      this.ip,
      4,
    );
  }

  get adminAddress() {
    return `${this.ip}:${this.admin}`;
  }

  get settingsPath() {
    return join(this.folder, `${this.name}.json`);
  }

  writeSettings({storeAddress, seeds, bootstrap, ...changed}) {
    const settings = {
      'node-name': this.name,
      role: 'router',
      'machine-class': 'edge',
      serves: ['edge', 'ctl'],
      ip: this.ip,
      az: this.zone,
      region: 'kosice',
      zones: Object.fromEntries(this.zones.map(zone => [zone, 'kosice'])),
      listen: {
        http: `${this.ip}:${this.http}`,
        readiness: `${this.ip}:${this.readiness}`,
        admin: this.adminAddress,
      },
      'port-range': [this.firstPort, this.firstPort + 15],
      seeds,
      bootstrap,
      'in-tolerance': false,
      limits: {
        'cpu-quota': 0.675,
        cpus: 1,
        'memory-mb': 350,
        'max-fds': 4100,
        'link-mbps': 1000,
        'disk-mb': 0,
      },
      'data-dir': null,
      discovery: 'platform',
      entry: 'vip',
      'heartbeat-ms': 1200,
      contracts: [
        'base',
        'drain',
        'config',
        'cost',
        'retry',
        'recover',
        'engine',
        'stream',
        'tenants',
        'platform',
        'rollout',
      ],
      'fault-tolerance': {machines: 1, zones: 1, regions: 0},
      bounds,
      platform: {
        address: storeAddress,
        form: 'log',
        'writes-per-s': 400,
        'reads-per-s': 2000,
        parts: 8,
        'append-ms': 4,
        'part-mb-per-s': 20,
        'read-mb-per-s': 80,
        'record-bytes': 262144,
        'call-bytes': 2097152,
        keep_s: 300,
        'part-mb': 200,
        'ttl-min-ms': 1000,
      },
      ...changed,
    };
    writeFileSync(this.settingsPath, JSON.stringify(settings, undefined, 2));
  }

  start() {
    const [program, ...parameters] = readCommand();
    this.process = spawn(program, parameters, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG ?? 'C',
        BAYSPOOL_SETTINGS: this.settingsPath,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    for (const stream of [this.process.stdout, this.process.stderr])
      stream.on('data', bytes => (this.output += bytes));
    this.process.on('exit', (code, signal) => {
      this.end = {code, signal, at: performance.now()};
    });
  }

  async isReady() {
    const url = `http://${this.ip}:${this.readiness}/api/readyz`;
    const response = await fetch(url).catch(() => undefined);
    return response?.status === 200;
  }

  /** Waits until it is ready. Returns false if it isn't in time. */
  async waitUntilReady(limitMs = 15000) {
    const until = performance.now() + limitMs;
    while (performance.now() < until) {
      if (await this.isReady()) return true;
      await new Promise(done => setTimeout(done, 50));
    }
    return false;
  }

  stop() {
    if (!this.process || this.end) return;
    this.process.kill('SIGCONT');
    this.process.kill('SIGKILL');
  }
}
