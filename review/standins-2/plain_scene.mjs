// A plain service with an `unsafe` and a `safe` route, and clients that send to every host.
import {createAgent, send} from './client.mjs';
import {sleep} from './scene.mjs';

export const SERVICE = 'core-registry';
export const HOST_NAME = 'registry.example';
export const KEY = 'n2ctnfzs989anu6wsjnb';

export function createManifest({gen = 7, timeoutMs = 800, routes = []} = {}) {
  const route = {
    host: HOST_NAME,
    'timeout-ms': timeoutMs,
    'goal-ms': 193,
    prio: 2,
    attempts: 1,
    public: false,
    backend: SERVICE,
  };
  return {
    gen,
    routes: [
      {...route, name: 'r-look', 'path-prefix': '/look/', type: 'unsafe'},
      {
        ...route,
        name: 'r-photo',
        'path-prefix': '/photo/',
        type: 'safe',
        attempts: 2,
      },
      ...routes.map(other => ({...route, ...other})),
    ],
    backends: [{name: SERVICE, 'health-path': '/healthz', 'max-conns': 100}],
    limits: {
      'max-header-bytes': 16384,
      'max-body-bytes': 4194304,
      'header-timeout-ms': 3000,
      'idle-timeout-ms': 15000,
    },
    tenants: [{name: 'hule930', 'api-keys': [KEY], prio: 1}],
  };
}

/** Clients that send one request after the other to each host. */
export class Load {
  results = [];
  open = new Set();
  isSending = false;

  constructor({scene, intervalMs, path = '/look/2f', deadlineMs = 1500}) {
    Object.assign(this, {scene, intervalMs, path, deadlineMs});
  }

  start() {
    this.isSending = true;
    for (const host of this.scene.hosts) void this.sendTo(host);
  }

  async sendTo(host) {
    const {path, deadlineMs} = this;
    const agent = createAgent();
    while (this.isSending) {
      const request = send({
        agent,
        ip: host.ip,
        port: host.http,
        hostName: HOST_NAME,
        path,
        key: KEY,
        deadlineMs,
        body: 'sample',
      }).then(result => {
        this.results.push(result);
        this.open.delete(request);
      });
      this.open.add(request);
      await sleep(this.intervalMs * (0.5 + Math.random()));
    }
    this.agents = [...(this.agents ?? []), agent];
  }

  async stop() {
    this.isSending = false;
    await sleep(2 * this.intervalMs);
    await Promise.all(this.open);
    for (const agent of this.agents ?? []) agent.destroy();
  }

  /** Returns how many requests ended how. */
  describe() {
    const counts = new Map();
    for (const {outcome} of this.results)
      counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
    return [...counts].map(([name, n]) => `${name}: ${n}`).join('; ');
  }
}
