// More requests that may run at most once come than a runner has room for, so that it turns some away. In spells it
// sends some answers twice, the second time late.
import {connect, createServer} from 'node:net';
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  Store,
  listen,
  manifest,
  runCase,
  runnerEntry,
  sleep,
  startHosts,
} from '../lib/stand_ins.mjs';

/** Without it, the same is done without the disruption. */
const hasTrouble = process.env.TROUBLE !== '0';
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
/** The runner serves 140 of them. */
const PER_SECOND = 200;
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
  const {record, onEnd} = play;
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
  const hosts = await startHosts({count: HOSTS, store, record, onEnd});
  record.add(`${PER_SECOND} requests a second for ${LENGTH_MS} ms`);
  startedAt = performance.now();
  const statuses = new Map();
  const calls = [];
  let nextAt = startedAt;
  for (let i = 0; nextAt < startedAt + LENGTH_MS; i++) {
    nextAt += (1_000 / PER_SECOND) * -Math.log(Math.random());
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
  for (const [id, status] of statuses) {
    const trace = runner.traces.get(id) ?? ['never arrives'];
    record.add(`${id}; its client got ${status}; runner: ${trace.join('; ')}`);
  }
  for (const [id] of twice) record.add(`TWICE: ${id}`);
  for (const [id] of refused) record.add(`REFUSED: ${id}`);
  return {
    isBroken: twice.length > 0 || refused.length > 0,
    why: `${twice.length} requests ran twice, ${refused.length} were refused and ran`,
  };
}
