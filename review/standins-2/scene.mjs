/* global console, performance, process, setTimeout */
// Sets up a small deployment on loopback addresses of its own: store, proxies to it, hosts. Writes the record, ends all.
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Host} from './hosts.mjs';
import {StoreProxy} from './proxy.mjs';
import {Store} from './store.mjs';

export const sleep = ms => new Promise(done => setTimeout(done, ms));

/** Longest time that a script may take, in ms. */
const LIMIT_MS = 115000;

const LAG_CHECK_MS = 100;
const MAX_LAG_MS = 500;

export class Scene {
  hosts = [];
  proxies = [];
  lines = [];
  toStop = [];

  constructor({recordPath}) {
    this.recordPath = recordPath;
    this.isTroubled = process.env.TROUBLE !== '0';
    const pick = count => 2 + Math.floor(Math.random() * count);
    this.net = `127.${pick(200)}.${pick(200)}`;
    this.folder = mkdtempSync(join(tmpdir(), 'review-2-'));
    this.startedAt = performance.now();
    this.store = new Store(this.ip(1));
    for (const signal of ['SIGINT', 'SIGTERM'])
      process.on(signal, () => this.finish(2, `ended by ${signal}`));
    setTimeout(() => this.finish(2, 'took too long'), LIMIT_MS).unref();
    this.watchLag();
  }

  /** A machine that is too busy to keep the times of the script shows nothing. */
  watchLag() {
    const at = performance.now();
    setTimeout(() => {
      const lagMs = performance.now() - at - LAG_CHECK_MS;
      if (lagMs > MAX_LAG_MS)
        this.finish(2, `the machine is too busy: ${Math.round(lagMs)} ms late`);
      this.watchLag();
    }, LAG_CHECK_MS).unref();
  }

  ip(last) {
    return `${this.net}.${last}`;
  }

  /** Adds a line to the record. */
  note(text, at = performance.now()) {
    const seconds = ((at - this.startedAt) / 1000).toFixed(3);
    this.lines.push(`${seconds.padStart(8)} s  ${text}`);
  }

  /** Starts the store, and a host in each of these zones behind a proxy of its own. */
  async start(zones) {
    await this.store.start();
    for (const [i, zone] of zones.entries()) {
      const proxy = new StoreProxy(this.ip(40 + i), this.store.address);
      await proxy.start();
      this.proxies.push(proxy);
      const host = new Host({
        name: `edge-${zone}-${i + 1}`,
        ip: this.ip(10 + i),
        zone,
        zones: [...new Set(zones)],
        folder: this.folder,
      });
      await host.prepare();
      this.hosts.push(host);
    }
    this.seeds = this.hosts.slice(0, 3).map(host => host.adminAddress);
    for (const [i, host] of this.hosts.entries()) {
      host.storeAddress = this.proxies[i].address;
      host.writeSettings({
        storeAddress: host.storeAddress,
        seeds: this.seeds,
        bootstrap: true,
      });
      host.start();
    }
    for (const host of this.hosts) {
      if (await host.waitUntilReady()) continue;
      this.finish(2, `${host.name} is not ready: ${host.output}`);
    }
    this.note(`ready: ${this.hosts.map(({name}) => name).join(', ')}`);
  }

  /** Ends everything, and the script with this status. */
  finish(status, summary) {
    this.note(summary);
    const order = [...this.lines].sort(
      (a, b) => Number.parseFloat(a) - Number.parseFloat(b),
    );
    writeFileSync(this.recordPath, `${order.join('\n')}\n`);
    console.log(summary);
    for (const host of this.hosts) host.stop();
    for (const proxy of this.proxies) proxy.stop();
    for (const item of this.toStop) item.stop();
    this.store.stop();
    rmSync(this.folder, {recursive: true, force: true});
    process.exit(status);
  }
}
