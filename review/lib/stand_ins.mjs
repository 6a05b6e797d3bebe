// Stand-ins of the platform, and the program of the deploy file as a process. Loopback only.
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer as createHttpServer} from 'node:http';
import {connect, createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

/** The root of the repository. */
export const root = join(dirname(fileURLToPath(import.meta.url)), '../..');

export const sleep = ms => new Promise(done => setTimeout(done, ms));

/** Lines of the record of a case, with the time since its start. */
export class Record {
  constructor(path) {
    this.path = path;
    this.startedAt = performance.now();
    this.lines = [];
  }

  add(line) {
    const at = Math.round(performance.now() - this.startedAt);
    this.lines.push(`${String(at).padStart(6)} ms  ${line}`);
  }

  save() {
    writeFileSync(this.path, `${this.lines.join('\n')}\n`);
  }
}

export function listen(server, ip = '127.0.0.1') {
  return new Promise((done, fail) => {
    server.once('error', fail);
    server.listen(0, ip, () => done(server.address().port));
  });
}

async function findPorts(count, ip) {
  const servers = Array.from({length: count}, () => createServer());
  const ports = [];
  for (const server of servers) ports.push(await listen(server, ip));
  await Promise.all(
    servers.map(server => new Promise(done => server.close(done))),
  );
  return ports;
}

/** The platform's store: a log with keyed topics, all acknowledged at once. */
export class Store {
  topics = new Map();
  waiters = new Set();

  async start() {
    this.server = createHttpServer((request, response) => {
      const chunks = [];
      request.on('data', chunk => chunks.push(chunk));
      request.on('end', () => {
        this.handle(request, Buffer.concat(chunks), response);
      });
    });
    this.server.keepAliveTimeout = 60_000;
    this.address = `127.0.0.1:${await listen(this.server)}`;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Appends a record, as the operator and the runners do. */
  put(topic, key, value) {
    const keyBytes = Buffer.from(key);
    const valueBytes = Buffer.from(
      value === undefined ? '' : JSON.stringify(value),
    );
    const head = Buffer.alloc(5);
    head.writeUInt32BE(1 + keyBytes.length + valueBytes.length, 0);
    head.writeUInt8(keyBytes.length, 4);
    this.append(topic, Buffer.concat([head, keyBytes, valueBytes]));
  }

  recordsOf(topic) {
    if (!this.topics.has(topic)) this.topics.set(topic, []);
    return this.topics.get(topic);
  }

  append(topic, bytes) {
    this.recordsOf(topic).push(bytes);
    for (const wake of [...this.waiters]) wake();
  }

  handle(request, body, response) {
    const {pathname, searchParams: query} = new URL(request.url, 'http://s');
    const topic = query.get('topic');
    if (pathname === '/api/log-append')
      this.answerAppend(topic, query, body, response);
    else if (pathname === '/api/log-read')
      this.answerRead(topic, query, response);
    else if (pathname === '/api/log-newest')
      this.answerNewest(topic, query, response);
    else sendJson(response, 404, {});
  }

  answerAppend(topic, query, body, response) {
    const records = this.recordsOf(topic);
    const expected = query.get('store-revision');
    if (expected !== null && Number(expected) !== records.length)
      return sendJson(response, 412, {end: records.length});
    const offset = records.length;
    if (body.length > 0) this.append(topic, body);
    sendJson(response, 200, {offset, end: records.length});
  }

  answerRead(topic, query, response) {
    const records = this.recordsOf(topic);
    const from = Number(query.get('from'));
    const until = performance.now() + Number(query.get('wait-ms') ?? 0);
    const finish = () => {
      clearTimeout(timer);
      this.waiters.delete(answer);
      if (response.destroyed) return;
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(records.length), 0);
      const bytes = Buffer.concat([head, ...records.slice(from)]);
      response.writeHead(200, {'content-length': bytes.length});
      response.end(bytes);
    };
    const answer = () => {
      if (records.length > from || performance.now() >= until) finish();
    };
    const timer = setTimeout(finish, Math.max(0, until - performance.now()));
    this.waiters.add(answer);
    answer();
  }

  answerNewest(topic, query, response) {
    const records = this.recordsOf(topic);
    const since = query.get('since-rev');
    const newest = new Map();
    records.forEach((bytes, offset) => {
      const keyEnd = 5 + bytes.readUInt8(4);
      const key = bytes.toString('utf8', 5, keyEnd);
      if (keyEnd === bytes.length) newest.delete(key);
      else {
        const value = bytes.toString('base64', keyEnd);
        newest.set(key, {key, value, offset});
      }
    });
    const rest = [...newest.values()]
      .filter(({key}) => since === null || key > since)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    sendJson(response, 200, {
      entries: rest.slice(0, 500),
      'more-pages': rest.length > 500,
      end: records.length,
    });
  }
}

function sendJson(response, status, value) {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}

/** The entry that a runner keeps of itself in the store. */
export function runnerEntry({service, address, az = 'a', slots = 6}) {
  return {
    backend: service,
    address,
    az,
    gen: 'v1',
    slots,
    phase: 'ready',
    'cold-left-ms': 0,
    'call-seq': 1,
  };
}

/** Bounds as on the users' small deployments. */
const bounds = {
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

/** The words of the command that the deploy file names. */
function readRunCommand() {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** A process of the program, with the command of the deploy file. */
export class Host {
  constructor({name, ip, store, az = 'a', seeds = () => [], record}) {
    Object.assign(this, {name, ip, store, az, seeds, record});
    this.folder = mkdtempSync(join(tmpdir(), 'bayspool-review-'));
    this.output = '';
  }

  async prepare() {
    const [http, readiness, admin, first] = await findPorts(4, this.ip);
    Object.assign(this, {http, readiness, admin, first});
  }

  async start() {
    if (this.http === undefined) await this.prepare();
    const {ip, http, readiness, admin, first, az, name} = this;
    const settings = {
      'node-name': name,
      role: 'router',
      'machine-class': 'edge',
      serves: ['edge', 'ctl'],
      ip,
      az,
      region: 'r',
      zones: {a: 'r', b: 'r'},
      listen: {
        http: `${ip}:${http}`,
        readiness: `${ip}:${readiness}`,
        admin: `${ip}:${admin}`,
      },
      'port-range': [first, first],
      seeds: this.seeds(),
      bootstrap: false,
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
        'stream',
        'tenants',
        'platform',
        'rollout',
      ],
      'fault-tolerance': {machines: 1, zones: 1, regions: 0},
      bounds,
      platform: {
        address: this.store.address,
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
    };
    const path = join(this.folder, 'node.json');
    writeFileSync(path, JSON.stringify(settings));
    const [command, ...args] = readRunCommand();
    this.process = spawn(command, args, {
      cwd: root,
      env: {PATH: process.env.PATH, HOME: this.folder, BAYSPOOL_SETTINGS: path},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.exited = new Promise(done => {
      this.process.once('exit', (code, signal) => {
        this.record?.add(`host ${name} ended: ${signal ?? `code ${code}`}`);
        done();
      });
    });
    this.process.stdout.on('data', chunk => (this.output += chunk));
    this.process.stderr.on('data', chunk => (this.output += chunk));
  }

  async untilReady(timeoutMs = 20_000) {
    const until = performance.now() + timeoutMs;
    for (;;) {
      const url = `http://${this.ip}:${this.readiness}/api/readyz`;
      const answer = await fetch(url).catch(() => undefined);
      if (answer?.status === 200) return;
      if (performance.now() > until)
        throw new Error(`host ${this.name} is not ready\n${this.output}`);
      await sleep(50);
    }
  }

  stop() {
    this.isStopped = true;
    this.process?.kill('SIGKILL');
    rmSync(this.folder, {recursive: true, force: true});
  }
}

/**
 * Sends the head of a request on a channel of its own, and reads until the channel ends. Resolves with the head and body
 * of the answer, and whether it is complete: by its length, by its last chunk, or else by the end of the channel, unless
 * that is a reset.
 */
export function exchange(host, head) {
  return new Promise(done => {
    const socket = connect({
      host: host.ip,
      port: host.http,
      allowHalfOpen: true,
    });
    let text = '';
    let isReset = false;
    socket.on('data', chunk => (text += chunk.toString('latin1')));
    socket.on('error', () => (isReset = true));
    // Node may report a reset that comes with bytes as an ordinary end. A write tells them apart.
    socket.on('end', () => socket.write('\r\n', () => socket.destroy()));
    socket.on('close', () => done(readAnswer(text, isReset)));
    socket.write(`${head}\r\nConnection: close\r\n\r\n`);
  });
}

function readAnswer(text, isReset) {
  const end = text.indexOf('\r\n\r\n');
  if (end < 0) return {isReset, body: '', isComplete: false};
  const head = text.slice(0, end);
  const body = text.slice(end + 4);
  const read = name => new RegExp(`^${name}: (.*)$`, 'im').exec(head)?.[1];
  const length = read('content-length');
  const isChunked = read('transfer-encoding') !== undefined;
  const answer = {
    status: Number(head.slice(9, 12)),
    stamp: read('server-stamp'),
    isReset,
    body,
  };
  if (length !== undefined)
    return {...answer, framing: 'length', isComplete: body.length >= length};
  if (isChunked)
    return {
      ...answer,
      framing: 'chunks',
      isComplete: body.endsWith('0\r\n\r\n'),
    };
  return {...answer, framing: 'end of the channel', isComplete: !isReset};
}

/** Time from the end of a process until the platform starts it again, in ms. */
const RESTART_MS = 500;

/** Starts hosts, all of one zone; resolves when all are ready. */
export async function startHosts({count, store, record, onEnd}) {
  const hosts = [];
  for (let i = 1; i <= count; i++) {
    const ip = `127.0.0.${i}`;
    const host = new Host({name: `edge-${i}`, ip, store, record});
    onEnd(() => host.stop());
    await host.start();
    hosts.push(host);
  }
  for (const host of hosts) await host.untilReady();
  record.add(`${count} hosts are ready`);
  return hosts;
}

/** Sends a signal to a host, which the platform starts again when it has ended. */
export async function endAndRestart(host, signal) {
  host.record.add(`${host.name} gets ${signal}`);
  host.process.kill(signal);
  await host.exited;
  await sleep(RESTART_MS);
  if (host.isStopped) return;
  await host.start();
  host.record.add(`${host.name} is started again`);
}

/** A manifest with one public route and its service. */
export function manifest({type, timeoutMs, goalMs, attempts, ...route}) {
  return {
    gen: 7,
    routes: [
      {
        name: 'r',
        host: 'a.example',
        'path-prefix': '/x/',
        type,
        'timeout-ms': timeoutMs,
        'goal-ms': goalMs,
        backend: 'svc',
        attempts,
        public: true,
        ...route,
      },
    ],
    backends: [
      {
        name: 'svc',
        'health-path': '/healthz',
        'max-conns': 360,
        protocol: 'h1',
        tls: false,
      },
    ],
    limits: {
      'max-header-bytes': 16384,
      'max-body-bytes': 4194304,
      'header-timeout-ms': 3000,
      'idle-timeout-ms': 15000,
    },
  };
}

/** Runs a case; its exit code says whether the rule was broken. */
export async function runCase(folder, play) {
  const record = new Record(join(folder, 'record.txt'));
  const cleanups = [];
  let code = 2;
  const limit = setTimeout(() => finish(2, 'out of time'), 110_000);
  function finish(exitCode, why) {
    clearTimeout(limit);
    record.add(why);
    for (const cleanup of cleanups.reverse()) {
      try {
        cleanup();
      } catch (error) {
        record.add(`cleanup: ${error}`);
      }
    }
    record.save();
    console.log(why);
    process.exit(exitCode);
  }
  try {
    const {isBroken, why} = await play({
      record,
      onEnd: cleanup => cleanups.push(cleanup),
    });
    code = isBroken ? 1 : 0;
    finish(code, `${isBroken ? 'BROKEN' : 'HELD'}: ${why}`);
  } catch (error) {
    finish(2, `could not run: ${error.stack}`);
  }
}
