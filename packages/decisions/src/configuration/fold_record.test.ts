import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ConfigRecord} from './config_record.js';
import type {Configuration} from './configuration.js';
import {emptyConfiguration} from './empty_configuration.js';
import {foldRecord} from './fold_record.js';
import type {Intent} from './intent.js';
import {computeStateDigest} from './compute_state_digest.js';
import {listTouchedObjects} from './list_touched_objects.js';

const seed: ConfigRecord = {
  type: 'seed',
  id: 'seed',
  seed: {
    places: [
      {id: 'hall-a', entry: true},
      {id: 'hall-b', entry: true},
    ],
    versions: [
      {id: 'geo@1', model: 'geo', state: 'stable', cost: 1, strength: 1},
    ],
    services: [],
    workspaces: [],
  },
};
const seeded = foldRecord(emptyConfiguration, 0, seed);

function record(
  config: Configuration,
  id: string,
  intent: Intent,
): ConfigRecord {
  const keys = listTouchedObjects(intent);
  const basis = Object.fromEntries(
    keys.map(key => [key, config.revisions[key] ?? -1]),
  );
  return {type: 'intent', id, intent, basis, by: 'test'};
}

const withdraw: Intent = {kind: 'withdraw', version: 'geo@1'};
const retire: Intent = {kind: 'retire', version: 'geo@1'};

void test('of two intents with the same basis the first in the log is accepted, and the verdict of the other names it', () => {
  const first = record(seeded, 'first', withdraw);
  const second = record(seeded, 'second', retire);
  const after = foldRecord(foldRecord(seeded, 1, first), 2, second);
  assert.equal(after.versions['geo@1'].state, 'withdrawn');
  assert.equal(after.verdicts[0].accepted, true);
  assert.equal(after.verdicts[1].accepted, false);
  assert.equal(after.verdicts[1].lostTo, 'first');
});

void test('an intent that is sent twice is applied once', () => {
  const sent = record(seeded, 'first', retire);
  const once = foldRecord(seeded, 1, sent);
  const twice = foldRecord(once, 2, sent);
  assert.deepEqual({...twice, offset: 1}, once);
});

void test('a record at or below the offset changes nothing', () => {
  const after = foldRecord(seeded, 1, record(seeded, 'first', withdraw));
  assert.equal(foldRecord(after, 1, record(seeded, 'second', retire)), after);
});

void test('a snapshot with a wrong digest is not restored', () => {
  const snapshot: ConfigRecord = {
    type: 'snapshot',
    id: 'snapshot',
    upTo: 0,
    digest: computeStateDigest(emptyConfiguration),
    state: seeded,
  };
  assert.equal(foldRecord(emptyConfiguration, 5, snapshot).offset, -1);
});
