/* global URL, performance */
// One channel of one host to the store goes silent while new ones work. A runner that drains 3.3 s later still gets requests from
// all hosts of the place long after `drain-ms`.
import {createAgent, send} from '../standins-2/client.mjs';
import {bounds} from '../standins-2/hosts.mjs';
import {Runner} from '../standins-2/runner.mjs';
import {Scene, sleep} from '../standins-2/scene.mjs';

const SERVICE = 'core-registry';
const HOST_NAME = 'registry.example';
const KEY = 'n2ctnfzs989anu6wsjnb';
const ROUTE_TIMEOUT_MS = 800;
const DEADLINE_MS = 1500;
/** Time between two requests to each host, in ms. */
const INTERVAL_MS = 25;
/** Time from the start of the load until a runner joins, in ms. */
const SETTLING_MS = 14000;
/** A draining runner ends this long after `drain-ms`: "a little longer (at times many seconds)". */
const LONGER_MS = 4000;

const here = new URL('.', import.meta.url).pathname;
const scene = new Scene({recordPath: `${here}record.txt`});
const {store} = scene;

const runners = [1, 2, 3, 4, 5].map(
  number =>
    new Runner({
      id: `i-${number}f3a91c${number}`,
      ip: scene.ip(20 + number),
      backend: SERVICE,
      zone: 'hall-a',
      workMs: 60,
      slots: 6,
      store,
    }),
);

/** Whether a host has last said that it reads the store itself. */
function readsStore({output}) {
  const sources = output
    .split('\n')
    .filter(line => line.includes('"event":"source_changed"'))
    .map(line => /"source":"([^"]*)"/.exec(line)?.[1]);
  return sources.at(-1) === 'store';
}

async function main() {
  const {lines} = scene;
  scene.toStop.push({stop: () => runners.forEach(r => r.server.close())});
  const starting = scene.start(['hall-a', 'hall-a', 'hall-a']);
  await sleep(50);
  for (const runner of runners.slice(0, 4)) await runner.start();
  store.put('keyed.op', 'config', {
    gen: 7,
    routes: [
      {
        name: 'r-lookup',
        host: HOST_NAME,
        'path-prefix': '/lookup/',
        type: 'unsafe',
        'timeout-ms': ROUTE_TIMEOUT_MS,
        'goal-ms': 193,
        prio: 2,
        attempts: 1,
        public: false,
        backend: SERVICE,
      },
    ],
    backends: [{name: SERVICE, 'health-path': '/healthz', 'max-conns': 100}],
    limits: {
      'max-header-bytes': 16384,
      'max-body-bytes': 4194304,
      'header-timeout-ms': 3000,
      'idle-timeout-ms': 15000,
    },
    tenants: [{name: 'hule930', 'api-keys': [KEY], prio: 1}],
  });
  await starting;

  const results = [];
  let isSending = true;
  const open = new Set();
  const agents = [];
  const sendTo = async host => {
    const agent = createAgent();
    while (isSending) {
      const request = send({
        agent,
        ip: host.ip,
        port: host.http,
        hostName: HOST_NAME,
        path: '/lookup/2f',
        key: KEY,
        deadlineMs: DEADLINE_MS,
        body: 'sample',
      }).then(result => {
        results.push(result);
        open.delete(request);
      });
      open.add(request);
      await sleep(INTERVAL_MS);
    }
    agents.push(agent);
  };
  for (const host of scene.hosts) void sendTo(host);
  // Long polls of the first moments, in which each host took itself for the reader, have ended by then.
  await sleep(SETTLING_MS);
  const readerIndex = scene.hosts.findIndex(readsStore);
  if (readerIndex < 0) scene.finish(2, 'no host says that it reads the store');

  await runners[4].start();
  scene.note(`${runners[4].id} joins`);
  await sleep(500);
  const silentAt = performance.now();
  if (scene.isTroubled) {
    const {silent, open: count} =
      scene.proxies[readerIndex].silence('keyed.servers');
    const {name} = scene.hosts[readerIndex];
    scene.note(
      `${name}: ${silent} of ${count} open channels to the store go silent`,
    );
    if (silent !== 1) scene.finish(2, 'the channel to go silent was not found');
  }
  await sleep(bounds['contact-ms'] + 300);

  const [leaving] = runners;
  const drainedAt = leaving.drain();
  scene.note(`the store has taken that ${leaving.id} is draining`, drainedAt);
  await sleep(bounds['drain-ms'] + LONGER_MS);
  leaving.end();
  const endedAt = performance.now();
  scene.note(`${leaving.id} ends`, endedAt);
  await sleep(2500);
  isSending = false;
  await sleep(2 * INTERVAL_MS);
  await Promise.all(open);
  for (const agent of agents) agent.destroy();

  const boundAt = drainedAt + bounds['drain-ms'];
  const late = leaving.arrivals.filter(({at}) => at > boundAt);
  const inTouch = late.filter(
    ({at}) => !scene.isTroubled || at - silentAt > bounds['contact-ms'],
  );
  const outcomes = new Map();
  for (const {outcome} of results)
    outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
  const allRuns = runners.flatMap(({runs}) => runs);
  const ran = new Set(allRuns.map(({id}) => id));
  const lost = results.filter(
    ({id, status, endedAt: at}) =>
      status !== 200 && ran.has(id) && at > boundAt,
  );
  for (const result of results) {
    const {id, sentAt, host, outcome} = result;
    const run = allRuns.find(item => item.id === id);
    lines.push(
      `${((sentAt - scene.startedAt) / 1000).toFixed(3).padStart(8)} s  ${id} to ${host}: ${outcome}, ran at ${run?.runner ?? 'none'}`,
    );
  }
  for (const {id, at} of late)
    scene.note(
      `LATE ${id} reaches ${leaving.id} ${Math.round(at - drainedAt)} ms after its draining was acknowledged`,
      at,
    );
  scene.note(
    `answers: ${[...outcomes].map(([name, count]) => `${name}: ${count}`).join('; ')}`,
  );
  scene.note(`run, and lost when the runner ended: ${lost.length}`);
  if (results.filter(({status}) => status === 200).length < 100)
    scene.finish(2, 'too few requests were served to judge');
  if (inTouch.length > 0)
    scene.finish(
      1,
      `DRAIN broken: ${inTouch.length} requests reached ${leaving.id} later than ${bounds['drain-ms']} ms after the acknowledgement, the last one ${Math.round(inTouch.at(-1).at - drainedAt)} ms after it; ${lost.length} requests that ran there were lost`,
    );
  scene.finish(0, 'DRAIN held');
}

main().catch(error => scene.finish(2, String(error.stack)));
