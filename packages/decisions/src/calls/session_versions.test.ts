import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {SessionVersions} from './session_versions.js';

void test('a session keeps its version for some time after its last call', () => {
  const clock = new VirtualClock();
  const sessions = new SessionVersions({clock, retentionMs: 5_000});
  sessions.set('s', 'v1');
  clock.advance(5_000);
  assert.equal(sessions.get('s'), 'v1');
  clock.advance(20_000);
  assert.equal(sessions.get('s'), undefined);
});
