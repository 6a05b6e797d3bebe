import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {PeerLoad} from './peer_load.js';

const fromPeers = {running: 4, pendingMs: 900, ok: 3, failed: 1};
const own = {running: 2, waiting: 1};

void test("a runner's own report takes precedence over loads from other hosts for a short time", () => {
  const clock = new VirtualClock();
  const load = new PeerLoad({clock});
  load.updateFromPeers(fromPeers);
  assert.equal(load.running, 4);
  assert.equal(load.pendingMs(100), 900);
  load.updateFromReport({running: 3, waiting: 1}, own);
  assert.equal(load.running, 2);
  assert.equal(load.pendingMs(100), 0);
  clock.advance(2_000);
  assert.equal(load.running, 4);
  assert.equal(load.pendingMs(100), 900);
  assert.deepEqual(load.lastFromPeers, fromPeers);
});

void test('waiting requests that no host reported count with the mean prefill time', () => {
  const clock = new VirtualClock();
  const load = new PeerLoad({clock});
  load.updateFromReport({running: 5, waiting: 4}, own);
  assert.equal(load.running, 7);
  assert.equal(load.pendingMs(200), 600);
});
