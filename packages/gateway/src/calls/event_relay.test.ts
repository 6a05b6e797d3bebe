// Guards against taking a stream for complete that was reset while its caller did not read.
import assert from 'node:assert/strict';
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {SystemClock} from '@bayspool/kernel';
import {ConnectTimeout} from '../runners/connect_timeout.js';
import {ConnectionPool} from '../runners/connection_pool.js';
import type {PooledConnection} from '../runners/pooled_connection.js';
import {sendRequest} from '../runners/send_request.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {CallerResponse} from './caller_response.js';
import {EventRelay} from './event_relay.js';
import type {HeldAmount} from './held_amount.js';
import {OutcomeKind} from './outcome_kind.js';
import type {ResponseReading} from './response_reading.js';

const HEAD = 'HTTP/1.1 200 OK\r\n\r\n';
/** Time in which the reading of the first event has paused, and time of the pause behind the end, in ms. */
const PAUSE_MS = 50;

const clock = new SystemClock();

async function connectTo(
  context: TestContext,
  accept: (socket: Socket) => void,
): Promise<PooledConnection> {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => accept(socket));
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  const pool = new ConnectionPool({
    clock,
    address: `127.0.0.1:${port}`,
    maxConnections: () => 1,
    connectTimeout: new ConnectTimeout(),
  });
  context.after(() => {
    pool.close();
    server.close();
  });
  return pool.acquire('r-1');
}

/**
 * Relays a stream of two events, the second of which the caller does not read before the runner has ended the connection.
 */
async function relayPaused(
  context: TestContext,
  end: (socket: Socket) => void,
): Promise<AttemptOutcome> {
  const connection = await connectTo(context, async socket => {
    socket.write(`${HEAD}data: 1\n\n`);
    await sleep(PAUSE_MS);
    socket.write('data: 2\n\n', () => end(socket));
  });
  const {signal} = new AbortController();
  const request = {
    method: 'GET',
    path: '/',
    headers: [],
    body: Buffer.alloc(0),
  };
  const response = await sendRequest({connection, request, signal});
  const reading = {
    pause: () => response.pause(),
    resume: () => response.resume(),
  };
  const caller = {
    isClosed: false,
    sendEvent: () => false,
    onDrain: (action: () => void) => setTimeout(action, 3 * PAUSE_MS),
    endStream: () => undefined,
  };
  return new EventRelay({
    response,
    method: request.method,
    connection,
    reading: reading as unknown as ResponseReading,
    caller: caller as unknown as CallerResponse,
    held: {
      set: () => undefined,
      release: () => undefined,
    } as unknown as HeldAmount,
    failureKind: () => OutcomeKind.BROKEN,
    abortReason: () => undefined,
    onBytes: () => undefined,
    onEventsComplete: () => undefined,
    claimDelivery: () => true,
    onEvent: () => undefined,
  }).run();
}

void test('a stream that is reset while its caller does not read does not end as complete', async context => {
  const outcome = await relayPaused(context, socket =>
    socket.resetAndDestroy(),
  );
  assert.equal(outcome.kind, OutcomeKind.BROKEN);
  assert.equal(outcome.reason, 'stream was reset');
});

void test('a stream that ends while its caller does not read is complete', async context => {
  const outcome = await relayPaused(context, socket => socket.end());
  assert.equal(outcome.kind, OutcomeKind.ANSWERED);
});
