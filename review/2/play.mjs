// In spells a runner sends some answers without a length, and resets the channels of most of these in the middle.
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

/** Without it, the same is done without the disruption. */
const hasTrouble = process.env.TROUBLE !== '0';
/** Of so many answers of the first runner one has no length; the pages name 0.05 of those of 0.5 of the runners. */
const ANSWERS_PER_UNFRAMED = 20;
/** Spells of such answers, for 5 s each as on the pages; for the first 4 s of each their channels are reset. */
const SPELL = {FIRST_MS: 1_000, UNFRAMED_MS: 5_000, RESET_MS: 4_000, EVERY_MS: 7_000};
const WORK_MS = 43;
const ANSWER_BYTES = 800;
const SLOTS = 64;
const TIME_LIMIT_MS = 1_500;
const PER_SECOND = 200;
const LENGTH_MS = 36_000;

/** Runs requests on the platform's wire, one at a time on each channel. */
class Runner {
  answers = 0;
  resets = 0;
  /** Answers without a length that ended in the ordinary way. */
  unframed = 0;
  /** What its whole answer to a request is, by its stamp. */
  bodies = new Map();
  /** Stamps of the answers that it did not send to their end. */
  brokenOff = new Set();

  constructor({id, sinceSpellMs}) {
    Object.assign(this, {id, sinceSpellMs});
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
    const isUnframed =
      this.sinceSpellMs() < SPELL.UNFRAMED_MS &&
      this.answers % ANSWERS_PER_UNFRAMED === 0;
    const isReset = hasTrouble && this.sinceSpellMs() < SPELL.RESET_MS;
    if (!isUnframed) {
      socket.write(`${head}Content-Length: ${body.length}\r\n\r\n${body}`);
    } else if (!isReset) {
      this.unframed += 1;
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
  const {record, onEnd} = play;
  const store = new Store();
  await store.start();
  onEnd(() => store.stop());
  let startedAt = Infinity;
  const sinceSpellMs = () => {
    const sinceMs = performance.now() - startedAt - SPELL.FIRST_MS;
    return sinceMs < 0 ? Infinity : sinceMs % SPELL.EVERY_MS;
  };
  const runners = [];
  for (const id of ['i-1', 'i-2']) {
    const isFaulty = id === 'i-1';
    const sinceMs = isFaulty ? sinceSpellMs : () => Infinity;
    const runner = new Runner({id, sinceSpellMs: sinceMs});
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
  const [{resets, unframed, answers: all, bodies: first, brokenOff}, other] =
    runners;
  record.add(
    `i-1 gave ${all} answers; of those without a length, it reset ${resets} midway and ended ${unframed}`,
  );
  const bodies = new Map([...first, ...other.bodies]);
  for (const {id, status, stamp, framing, body, isComplete} of answers)
    record.add(
      `${id}: ${status}, stamp ${stamp}, ${body.length} bytes, by ${framing}, complete: ${isComplete}`,
    );
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
