import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import type {IncomingMessage} from 'node:http';
import {test} from 'node:test';
import {SystemClock} from '@bayspool/kernel';
import type {PooledConnection} from '../runners/pooled_connection.js';
import {createSilentLog} from '../testing/create_silent_log.js';
import {BufferedResponseReader} from './buffered_response_reader.js';
import {HeldBytes} from './held_bytes.js';
import {OutcomeKind} from './outcome_kind.js';
import type {ResponseReading} from './response_reading.js';

const CHUNKS = 400_000;
/** A heap of 160 MB has to hold many responses. */
const MAX_HEAP_GROWTH = 16_000_000;

class FakeResponse extends EventEmitter {
  readonly statusCode = 200;
  readonly statusMessage = 'OK';
  readonly headers = {'transfer-encoding': 'chunked'};
  readonly rawHeaders = [];
  readonly complete = true;
}

void test('a body in chunks of one byte takes no heap object per byte', async () => {
  const response = new FakeResponse();
  const connection = {noteBody: () => undefined, discard: () => undefined};
  const reader = new BufferedResponseReader({
    response: response as unknown as IncomingMessage,
    method: 'GET',
    connection: connection as unknown as PooledConnection,
    reading: {} as ResponseReading,
    held: new HeldBytes({
      clock: new SystemClock(),
      log: createSilentLog(),
      maxBytes: () => Infinity,
    }).hold(),
    isContinuation: false,
    claimDelivery: () => true,
    failureKind: () => OutcomeKind.BROKEN,
    abortReason: () => undefined,
    onBytes: () => undefined,
    onComplete: () => undefined,
  });
  const outcome = reader.run();
  const received = Buffer.from('xy');
  const heapBefore = process.memoryUsage().heapUsed;
  for (let i = 0; i < CHUNKS; i++)
    response.emit('data', received.subarray(0, 1));
  const growth = process.memoryUsage().heapUsed - heapBefore;
  response.emit('end');
  assert.equal((await outcome).response?.body.length, CHUNKS);
  assert.ok(growth < MAX_HEAP_GROWTH, `${growth} bytes`);
});
