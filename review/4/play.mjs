// A host is killed while it passes on streams, some of which have no length: they end with their channels.
import {createServer} from 'node:http';
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  Store,
  endAndRestart,
  exchange,
  listen,
  manifest,
  runCase,
  runnerEntry,
  sleep,
  startHosts,
} from '../lib/stand_ins.mjs';

/** Without it, the same is done without the disruption. */
const hasTrouble = process.env.TROUBLE !== '0';
/** One of them is struck. */
const HOSTS = 7;
const RUNNERS = 2;
const STREAMS = 200;
/** Time in which the streams begin, in ms. */
const BEGIN_MS = 2_000;
const EVENTS = 70;
const PAUSE_MS = 100;
const TIME_LIMIT_MS = 25_000;
/** Of so many answers of the first runner one has no length; the pages name 0.05 of those of 0.6 of the runners. */
const ANSWERS_PER_UNFRAMED = 20;
/** Time from the first stream to the kill, in ms. */
const KILL_AFTER_MS = 4_000;

/** Sends streams in chunks, and some of them neither with a length nor in chunks. */
function startRunner({id: runnerId, isFaulty, record}) {
  let answers = 0;
  return createServer((request, response) => {
    request.resume();
    const id = request.headers['request-id'];
    if (id === undefined)
      return void response.writeHead(200, {'instance-id': runnerId}).end();
    answers += 1;
    if (isFaulty && answers % ANSWERS_PER_UNFRAMED === 0) {
      record.add(`${runnerId} runs ${id}, without a length`);
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    response.writeHead(200, {
      'request-id': id,
      'server-stamp': `${runnerId}.${id}`,
      'content-type': 'text/event-stream',
    });
    let next = Number(request.headers['last-event-id'] ?? 0) + 1;
    const timer = setInterval(() => {
      response.write(`id: ${next}\ndata: ${next}\n\n`);
      next += 1;
      if (next <= EVENTS) return;
      clearInterval(timer);
      response.end();
    }, PAUSE_MS);
    response.once('close', () => clearInterval(timer));
  });
}

/** Resolves with the last event of a stream, and whether HTTP says that its answer is complete. */
async function callStream(host, id) {
  const names = `Host: a.example\r\nRequest-Id: ${id}`;
  const head = `GET /x/1 HTTP/1.1\r\n${names}\r\nDeadline-Ms: ${TIME_LIMIT_MS}`;
  const answer = await exchange(host, head);
  const ids = [...answer.body.matchAll(/^id: (\d+)$/gm)];
  return {id, ...answer, lastEvent: Number(ids[ids.length - 1]?.[1] ?? 0)};
}

await runCase(dirname(fileURLToPath(import.meta.url)), async play => {
  const {record, onEnd} = play;
  const store = new Store();
  await store.start();
  onEnd(() => store.stop());
  for (let i = 1; i <= RUNNERS; i++) {
    const id = `i-${i}`;
    const runner = startRunner({id, isFaulty: i === 1, record});
    const address = `127.0.0.1:${await listen(runner)}`;
    const entry = runnerEntry({service: 'svc', address, slots: 200});
    store.put('keyed.servers', id, entry);
  }
  const times = {timeoutMs: TIME_LIMIT_MS, goalMs: 4_000};
  const route = {type: 'stream', ...times, 'itl-target-ms': 1_000};
  const resumable = {attempts: 3, resumable: true};
  store.put('keyed.op', 'config', manifest({...route, ...resumable}));
  const [host] = await startHosts({count: HOSTS, store, record, onEnd});
  const startedAt = performance.now();
  const calls = [];
  for (let i = 0; i < STREAMS; i++) {
    calls.push(callStream(host, `stream-${i}`));
    await sleep(BEGIN_MS / STREAMS);
  }
  await sleep(startedAt + KILL_AFTER_MS - performance.now());
  if (hasTrouble) void endAndRestart(host, 'SIGKILL');
  return judge(await Promise.all(calls), record);
});

function judge(results, record) {
  const counts = {};
  for (const {status, framing, isReset, isComplete, lastEvent} of results) {
    const end = lastEvent === EVENTS ? 'all events' : 'not all events';
    const text = `status ${status}, framed by ${framing}, reset: ${isReset}, complete: ${isComplete}, ${end}`;
    counts[text] = (counts[text] ?? 0) + 1;
  }
  for (const [text, count] of Object.entries(counts))
    record.add(`${count} streams: ${text}`);
  const broken = results.filter(
    ({status, isComplete, lastEvent}) =>
      status === 200 && isComplete && lastEvent < EVENTS,
  );
  for (const {id, status, framing, isComplete, lastEvent} of results)
    record.add(
      `${id}: status ${status}, framed by ${framing}, complete: ${isComplete}, last event ${lastEvent}`,
    );
  for (const {id, lastEvent} of broken)
    record.add(
      `ORDER: ${id} ended as complete after event ${lastEvent} of ${EVENTS}`,
    );
  const why = `${broken.length} of ${results.length} streams ended as complete before their last event`;
  return {isBroken: broken.length > 0, why};
}
