// A runner sends some answers without a length, and resets the channels of some of these in the middle.
import {createServer} from 'node:net';
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  Host,
  Store,
  exchange,
  listen,
  manifest,
  runCase,
  runnerEntry,
  sleep,
} from '../lib/stand_ins.mjs';

/** Of so many answers of the first runner one has no length; the pages name 0.05 of those of 0.5 of the runners. */
const ANSWERS_PER_UNFRAMED = 20;
/** Spells in which the channels of these are reset in the middle: for 4 s each, as on the pages. */
const SPELL = {FIRST_MS: 1_000, FOR_MS: 4_000, EVERY_MS: 6_000};
const WORK_MS = 43;
const ANSWER_BYTES = 800;
const SLOTS = 64;
const TIME_LIMIT_MS = 1_500;
const PER_SECOND = 200;
const LENGTH_MS = 30_000;

/** Runs requests on the platform's wire, one at a time on each channel. */
class Runner {
  answers = 0;
  resets = 0;
  /** What its whole answer to a request is, by its stamp. */
  bodies = new Map();
  /** Stamps of the answers that it did not send to their end. */
  brokenOff = new Set();

  constructor({id, isFaulty, isInSpell}) {
    Object.assign(this, {id, isFaulty, isInSpell});
    this.server = createServer(socket => this.serve(socket));
  }

  serve(socket) {
    let buffered = '';
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('data', chunk => {
      buffered += chunk.toString('latin1');
      const end = buffered.indexOf('\r\n\r\n');
      if (end < 0) return;
      const id = /request-id: (\S+)/i.exec(buffered)?.[1];
      buffered = buffered.slice(end + 4);
      if (id === undefined)
        socket.write(
          `HTTP/1.1 200 OK\r\nInstance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`,
        );
      else setTimeout(() => this.answer(socket, id), WORK_MS * Math.random());
    });
  }

  answer(socket, id) {
    if (socket.destroyed) return;
    this.answers += 1;
    const stamp = `${this.id}.${this.answers}`;
    const body = `${stamp};`.repeat(ANSWER_BYTES).slice(0, ANSWER_BYTES);
    this.bodies.set(stamp, body);
    const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Stamp: ${stamp}\r\n`;
    if (!this.isFaulty || this.answers % ANSWERS_PER_UNFRAMED !== 0) {
      socket.write(`${head}Content-Length: ${body.length}\r\n\r\n${body}`);
    } else if (!this.isInSpell()) {
      socket.end(`${head}\r\n${body}`);
    } else {
      this.resets += 1;
      this.brokenOff.add(stamp);
      const half = body.slice(0, body.length / 2);
      socket.write(`${head}\r\n${half}`, () => socket.resetAndDestroy());
    }
  }
}

async function call(host, id) {
  const names = `Host: a.example\r\nRequest-Id: ${id}`;
  const head = `GET /x/1 HTTP/1.1\r\n${names}\r\nDeadline-Ms: ${TIME_LIMIT_MS}`;
  return {id, ...(await exchange(host, head))};
}

await runCase(dirname(fileURLToPath(import.meta.url)), async play => {
  const {record, onEnd, hasTrouble} = play;
  const store = new Store();
  await store.start();
  onEnd(() => store.stop());
  let startedAt = Infinity;
  const isInSpell = () => {
    const sinceMs = performance.now() - startedAt - SPELL.FIRST_MS;
    return (
      hasTrouble && sinceMs >= 0 && sinceMs % SPELL.EVERY_MS < SPELL.FOR_MS
    );
  };
  const runners = [];
  for (const id of ['i-1', 'i-2']) {
    const runner = new Runner({id, isFaulty: id === 'i-1', isInSpell});
    runners.push(runner);
    const address = `127.0.0.1:${await listen(runner.server)}`;
    const entry = runnerEntry({service: 'svc', address, slots: SLOTS});
    store.put('keyed.servers', id, entry);
  }
  const times = {timeoutMs: TIME_LIMIT_MS, goalMs: 1_000};
  const route = {type: 'safe', ...times, attempts: 2};
  store.put('keyed.op', 'config', manifest(route));
  const host = new Host({name: 'edge-1', ip: '127.0.0.1', store, record});
  onEnd(() => host.stop());
  await host.start();
  await host.untilReady();
  record.add(`${PER_SECOND} requests a second for ${LENGTH_MS} ms`);
  startedAt = performance.now();
  const calls = [];
  let nextAt = startedAt;
  while (nextAt < startedAt + LENGTH_MS) {
    nextAt += (1_000 / PER_SECOND) * -Math.log(Math.random());
    const delayMs = nextAt - performance.now();
    if (delayMs > 1) await sleep(delayMs);
    calls.push(call(host, `request-${calls.length}`));
  }
  return judge({record, runners, answers: await Promise.all(calls)});
});

function judge({record, runners, answers}) {
  const counts = {};
  for (const {status, isComplete} of answers) {
    const text = `${status}${isComplete ? '' : ' not complete'}`;
    counts[text] = (counts[text] ?? 0) + 1;
  }
  record.add(`sent ${answers.length}; the answers: ${JSON.stringify(counts)}`);
  const [{resets, answers: all, bodies: first, brokenOff}, other] = runners;
  record.add(`i-1 gave ${all} answers, and reset ${resets} of them midway`);
  const bodies = new Map([...first, ...other.bodies]);
  const wrong = answers.filter(
    ({status, stamp, body, isComplete}) =>
      status === 200 && isComplete && bodies.get(stamp) !== body,
  );
  for (const {id, stamp, framing, isReset, body} of wrong)
    record.add(
      `MIXED: the client of ${id} got ${body.length} of ${ANSWER_BYTES} bytes of answer ${stamp} as a complete one, ` +
        `by ${framing}, reset at the client: ${isReset}; reset at the host: ${brokenOff.has(stamp)}`,
    );
  const why = `${wrong.length} of ${resets} answers that were reset midway reached clients as complete`;
  return {isBroken: wrong.length > 0, why};
}
