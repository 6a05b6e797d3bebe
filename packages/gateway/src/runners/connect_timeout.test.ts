import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ConnectTimeout} from './connect_timeout.js';

void test('timeouts one after the other make the host wait longer, success ends that', () => {
  const patience = new ConnectTimeout();
  const shortest = patience.timeoutMs;
  patience.noteTimeout();
  patience.noteTimeout();
  assert.equal(patience.timeoutMs, shortest * 4);
  for (let i = 0; i < 20; i++) patience.noteTimeout();
  assert.ok(patience.timeoutMs <= 2_000);
  patience.noteConnected(2);
  assert.equal(patience.timeoutMs, shortest);
});

void test('a slow link is given time in proportion to what it takes', () => {
  const patience = new ConnectTimeout();
  patience.noteConnected(60);
  assert.ok(patience.timeoutMs >= 300);
});
