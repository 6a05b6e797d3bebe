import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {PeerLoad} from './peer_load.js';

const told = {running: 4, pendingMs: 900, ok: 3, failed: 1};
const own = {running: 2, waiting: 1};

void test("a runner's own report goes before what hosts told, for a short time", () => {
  const clock = new VirtualClock();
  const load = new PeerLoad({clock});
  load.updateFromPeers(told);
  assert.equal(load.running, 4);
  assert.equal(load.pendingMs(100), 900);
  load.updateFromReport({running: 3, waiting: 1}, own);
  assert.equal(load.running, 2);
  assert.equal(load.pendingMs(100), 0);
  clock.advance(2_000);
  assert.equal(load.running, 4);
  assert.equal(load.pendingMs(100), 900);
  assert.deepEqual(load.lastFromPeers, told);
});

void test('requests that wait and of which no host told count with their usual reading', () => {
  const clock = new VirtualClock();
  const load = new PeerLoad({clock});
  load.updateFromReport({running: 5, waiting: 4}, own);
  assert.equal(load.running, 7);
  assert.equal(load.pendingMs(200), 600);
});
