// Guards against waiting without end for the body of a call that was aborted before the body was read, and against
// requests that are kept in memory for good once their bodies were read.
import assert from 'node:assert/strict';
import {getEventListeners} from 'node:events';
import type {IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import {test} from 'node:test';
import {AbortReason} from './abort_reason.js';
import type {HeldAmount} from './held_amount.js';
import {readBody} from './read_body.js';

const held = {
  set: () => undefined,
  pauseNearBound: () => undefined,
  stopGrowing: () => undefined,
} as unknown as HeldAmount;

for (const [reason, result] of [
  [AbortReason.CALLER_DISCONNECTED, 'broken'],
  [AbortReason.TIME_LIMIT, 'late'],
] as const)
  void test(
    `a body is ${result} at once if its call was aborted before: ${reason}`,
    {timeout: 2_000},
    async () => {
      const request = new PassThrough() as unknown as IncomingMessage;
      const signal = AbortSignal.abort(reason);
      const options = {request, maxBytes: 100, declaredBytes: 0, held, signal};
      assert.equal(await readBody(options), result);
    },
  );

void test('a body that was read leaves nothing at the signal of its call', async () => {
  const request = new PassThrough();
  const {signal} = new AbortController();
  const reading = readBody({
    request: request as unknown as IncomingMessage,
    maxBytes: 100,
    declaredBytes: 0,
    held,
    signal,
  });
  assert.equal(getEventListeners(signal, 'abort').length, 1);
  request.end('body');
  assert.equal(String(await reading), 'body');
  assert.equal(getEventListeners(signal, 'abort').length, 0);
});
