// Bursts of requests that may run at most once meet a runner that is full at times, and turns some away. In spells it
// sends some answers twice, the second time late.
import {connect, createServer} from 'node:net';
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  Host,
  Store,
  listen,
  manifest,
  runCase,
  runnerEntry,
  sleep,
} from '../lib/stand_ins.mjs';

const HOSTS = 6;
const SLOTS = 6;
/** Requests that a runner queues. */
const QUEUE = 1;
/** Mean time of work, in ms. */
const WORK_MS = 43;
/** Share of its answers that the runner sends twice; the pages name 0.03, of the answers of 0.6 of the runners. */
const EXTRA_SHARE = 0.03;
/** Time from an answer to its repetition, in ms. */
const EXTRA_DELAY_MS = 15;
/** Spells in which it does: for 5 s each, as on the pages. */
const SPELL = {FIRST_MS: 2_000, FOR_MS: 5_000, EVERY_MS: 8_000};
/** Requests a second; the runner serves 140 of them. In the first 3 s of each spell there are 1.7 times as many, as on the pages. */
const RATE = {USUAL: 150, BURST: 255, BURST_MS: 3_000};
const TIME_LIMIT_MS = 1_500;
const ATTEMPTS = 6;
const LENGTH_MS = 90_000;
/** Statuses that promise that a request has not run and never will. */
const PROMISES = [408, 421, 429, 503];

/** Runs and turns away requests on the platform's wire, one at a time on each channel. */
class Runner {
  active = 0;
  queue = [];
  rejected = 0;
  extras = 0;
  channels = 0;
  /** What it did with each request, by id. */
  traces = new Map();

  constructor({id, runs, isFaulty}) {
    this.id = id;
    this.runs = runs;
    this.isFaulty = isFaulty;
    this.server = createServer(socket => this.serve(socket));
  }

  serve(socket) {
    let buffered = '';
    this.channels += 1;
    socket.number = this.channels;
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('data', chunk => {
      buffered += chunk.toString('latin1');
      for (;;) {
        const end = buffered.indexOf('\r\n\r\n');
        if (end < 0) return;
        const head = buffered.slice(0, end);
        const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
        if (buffered.length < end + 4 + length) return;
        buffered = buffered.slice(end + 4 + length);
        this.take(socket, /request-id: (\S+)/i.exec(head)?.[1]);
      }
    });
  }

  trace(socket, id, what) {
    const at = performance.now().toFixed(1);
    const lines = this.traces.get(id) ?? [];
    this.traces.set(id, lines);
    lines.push(`${at} ms, channel ${socket.number}: ${what}`);
  }

  take(socket, id) {
    if (id !== undefined) this.trace(socket, id, 'arrives');
    if (id === undefined) {
      const head = `Instance-Id: ${this.id}\r\nContent-Length: 0`;
      send(socket, `HTTP/1.1 200 OK\r\n${head}\r\n\r\n`);
    } else if (this.active < SLOTS) {
      this.run(socket, id);
    } else if (this.queue.length < QUEUE) {
      this.queue.push({socket, id});
    } else {
      this.rejected += 1;
      this.answer(socket, id, '503 Service Unavailable\r\nNot-Run: 1', 'full');
    }
  }

  run(socket, id) {
    this.active += 1;
    this.trace(socket, id, 'runs');
    this.runs.set(id, [...(this.runs.get(id) ?? []), this.id]);
    setTimeout(
      () => {
        this.active -= 1;
        this.answer(socket, id, '200 OK', 'done');
        this.runNext();
      },
      WORK_MS * (0.5 + Math.random()),
    );
  }

  runNext() {
    const next = this.queue.shift();
    if (!next) return;
    // Its caller has left: it is dropped, and has not run.
    if (next.socket.destroyed) this.runNext();
    else this.run(next.socket, next.id);
  }

  answer(socket, id, status, body) {
    const stamp = `Request-Id: ${id}\r\nServer-Stamp: ${this.id}.${id}`;
    const bytes = `HTTP/1.1 ${status}\r\n${stamp}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
    if (!send(socket, bytes)) return;
    this.trace(socket, id, `answered with ${status.slice(0, 3)}`);
    if (!this.isFaulty() || Math.random() >= EXTRA_SHARE) return;
    this.extras += 1;
    setTimeout(() => {
      if (send(socket, bytes)) this.trace(socket, id, 'the answer is repeated');
    }, EXTRA_DELAY_MS);
  }
}

/** @returns whether the channel was open */
function send(socket, bytes) {
  if (socket.destroyed) return false;
  socket.write(bytes);
  return true;
}

/** Sends a request on a channel of its own; resolves with its status, or undefined if there was none. */
function call(host, id) {
  return new Promise(done => {
    const socket = connect(host.http, host.ip);
    let text = '';
    socket.on('data', chunk => (text += chunk.toString('latin1')));
    socket.on('error', () => undefined);
    socket.on('close', () =>
      done(text === '' ? undefined : Number(text.slice(9, 12))),
    );
    const names = `Host: a.example\r\nConnection: close\r\nRequest-Id: ${id}`;
    const rest = `Deadline-Ms: ${TIME_LIMIT_MS}\r\nContent-Length: 4`;
    socket.write(`POST /x/1 HTTP/1.1\r\n${names}\r\n${rest}\r\n\r\nbody`);
  });
}

await runCase(dirname(fileURLToPath(import.meta.url)), async play => {
  const {record, onEnd, hasTrouble} = play;
  const store = new Store();
  await store.start();
  onEnd(() => store.stop());
  let startedAt = Infinity;
  const sinceSpellMs = () => {
    const sinceMs = performance.now() - startedAt - SPELL.FIRST_MS;
    return sinceMs < 0 ? Infinity : sinceMs % SPELL.EVERY_MS;
  };
  const isFaulty = () => hasTrouble && sinceSpellMs() < SPELL.FOR_MS;
  const runs = new Map();
  const runner = new Runner({id: 'i-1', runs, isFaulty});
  const entry = {slots: SLOTS, address: `127.0.0.1:${await listen(runner.server)}`};
  store.put('keyed.servers', 'i-1', runnerEntry({service: 'svc', ...entry}));
  // The runner of another service, which is sound and gets no requests.
  const other = new Runner({id: 'i-2', runs, isFaulty: () => false});
  const otherEntry = {slots: SLOTS, address: `127.0.0.1:${await listen(other.server)}`};
  store.put('keyed.servers', 'i-2', runnerEntry({service: 'other', ...otherEntry}));
  const route = {type: 'unsafe', timeoutMs: TIME_LIMIT_MS, goalMs: 193};
  store.put('keyed.op', 'config', manifest({...route, attempts: ATTEMPTS}));
  const hosts = [];
  for (let i = 1; i <= HOSTS; i++) {
    const host = new Host({name: `edge-${i}`, ip: `127.0.0.${i}`, store, record});
    onEnd(() => host.stop());
    await host.start();
    hosts.push(host);
  }
  for (const host of hosts) await host.untilReady();
  record.add(`requests for ${LENGTH_MS} ms`);
  startedAt = performance.now();
  const statuses = new Map();
  const calls = [];
  let nextAt = startedAt;
  for (let i = 0; nextAt < startedAt + LENGTH_MS; i++) {
    const isBurst = sinceSpellMs() < RATE.BURST_MS;
    const perSecond = isBurst ? RATE.BURST : RATE.USUAL;
    nextAt += (1_000 / perSecond) * -Math.log(Math.random());
    const delayMs = nextAt - performance.now();
    if (delayMs > 1) await sleep(delayMs);
    const id = `request-${i}`;
    const host = hosts[i % HOSTS];
    calls.push(call(host, id).then(status => statuses.set(id, status)));
  }
  await Promise.all(calls);
  await sleep(500);
  return judge({record, runner, runs, statuses});
});

function judge({record, runner, runs, statuses}) {
  const counts = {};
  for (const status of statuses.values())
    counts[status] = (counts[status] ?? 0) + 1;
  record.add(`sent ${statuses.size}; the statuses: ${JSON.stringify(counts)}`);
  const {rejected, extras} = runner;
  record.add(`the runner turned ${rejected} away, and sent ${extras} answers twice`);
  const twice = [...runs].filter(([, at]) => at.length > 1);
  const refused = [...runs].filter(([id]) =>
    PROMISES.includes(statuses.get(id)),
  );
  const show = (rule, id) => {
    record.add(`${rule}: ${id}; its client got ${statuses.get(id)}`);
    for (const line of runner.traces.get(id)) record.add(`    ${line}`);
  };
  for (const [id] of twice) show('TWICE', id);
  for (const [id] of refused) show('REFUSED', id);
  return {
    isBroken: twice.length > 0 || refused.length > 0,
    why: `${twice.length} requests ran twice, ${refused.length} were refused and ran`,
  };
}
