// Guards against work for callers that had left before their requests were read, as their host had not run for a while.
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {Metrics, SystemClock, Tracing, RequestPacer} from '@bayspool/kernel';
import type {ConfigurationStore} from '../configuration/configuration_store.js';
import type {LeavingState} from '../leaving/leaving_state.js';
import type {AdmissionController} from './admission_controller.js';
import {CallerServer} from './caller_server.js';

const CALLERS = 20;
/** Time for which the host does not run, in ms. */
const STANDSTILL_MS = 300;
/** Time after it in which requests are handled, if they are, in ms. */
const SETTLE_MS = 300;
/** The same where all of them have to be, in ms: another process may have the processor meanwhile. */
const MAX_SETTLE_MS = 5_000;
const POLL_INTERVAL_MS = 20;
const REQUEST = [
  'POST /services/one/x HTTP/1.1',
  'host: calls.example',
  'content-length: 4',
  '',
  'body',
].join('\r\n');

/** Starts a server that counts the calls it hands on. */
async function startServer(context: TestContext) {
  const handled: string[] = [];
  const admissionController = {
    handle: async ({id}: {id: string}) => {
      handled.push(id);
      return {status: 200, headers: {}, body: Buffer.from('ok')};
    },
  } as unknown as AdmissionController;
  const server = new CallerServer({
    pacer: new RequestPacer(),
    admissionController,
    endpoint: '127.0.0.1:0',
    clock: new SystemClock(),
    logger: {
      debug: () => undefined,
      info: () => undefined,
      warn: () => undefined,
      error: () => undefined,
    } as never,
    metrics: new Metrics(),
    tracing: new Tracing({program: 'test', sample: 0}),
    store: {isReady: true} as ConfigurationStore,
    leaving: {isLeaving: () => false} as LeavingState,
    maxBodyBytes: 1_000,
    maxHeaderBytes: 10_000,
    maxConnections: 100,
    headersTimeoutMs: 5_000,
    requestTimeoutMs: 5_000,
    drainTimeoutMs: 0,
  });
  await server.start();
  context.after(() => server.stop());
  const port = Number(server.address.split(':')[1]);
  const callers = Array.from({length: CALLERS}, () =>
    connect({host: '127.0.0.1', port}),
  );
  for (const caller of callers) caller.on('error', () => undefined);
  context.after(() => callers.forEach(caller => caller.destroy()));
  await Promise.all(callers.map(caller => once(caller, 'connect')));
  return {handled, callers};
}

/** Blocks this process in the next turn of its event loop, behind all that it sends in this one. */
function standStill(): void {
  setImmediate(() => {
    const until = performance.now() + STANDSTILL_MS;
    while (performance.now() < until);
  });
}

void test('no request of a caller that has left is handled', async context => {
  const {handled, callers} = await startServer(context);
  for (const caller of callers) caller.end(REQUEST);
  standStill();
  await sleep(STANDSTILL_MS + SETTLE_MS);
  assert.equal(handled.length, 0);
});

void test('the requests of callers that wait are handled', async context => {
  const {handled, callers} = await startServer(context);
  for (const caller of callers) caller.write(REQUEST);
  standStill();
  const until = performance.now() + STANDSTILL_MS + MAX_SETTLE_MS;
  while (handled.length < CALLERS && performance.now() < until)
    await sleep(POLL_INTERVAL_MS);
  assert.equal(handled.length, CALLERS);
});
