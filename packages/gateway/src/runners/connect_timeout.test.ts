import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ConnectTimeout} from './connect_timeout.js';

void test('consecutive timeouts raise the timeout, and a success resets it', () => {
  const timeout = new ConnectTimeout();
  const minMs = timeout.timeoutMs;
  timeout.noteTimeout();
  timeout.noteTimeout();
  assert.equal(timeout.timeoutMs, minMs * 4);
  for (let i = 0; i < 20; i++) timeout.noteTimeout();
  assert.ok(timeout.timeoutMs <= 2_000);
  timeout.noteConnected(2);
  assert.equal(timeout.timeoutMs, minMs);
});

void test('the timeout is proportional to the connect time of a slow link', () => {
  const timeout = new ConnectTimeout();
  timeout.noteConnected(60);
  assert.ok(timeout.timeoutMs >= 300);
});
