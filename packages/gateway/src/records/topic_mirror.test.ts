import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Topic} from './topic.js';
import {TopicMirror} from './topic_mirror.js';

const REMOVED_KEYS = 2_000;

/** A mirror in which one key is live and many were added and removed. */
function createMirrorWithRemovals(): TopicMirror {
  const mirror = new TopicMirror(Topic.RUNNERS);
  const stays = {key: 'stays', value: 'v', offset: 0};
  mirror.load({records: [stays], next: 1, isWhole: true}, 0);
  for (let i = 0; i < REMOVED_KEYS; i++) {
    const offset = 1 + i * 2;
    const key = `gone-${i}`;
    const records = [
      {key, value: 'v', offset},
      {key, offset: offset + 1},
    ];
    mirror.extend({records, next: offset + 2, isWhole: true}, i);
  }
  return mirror;
}

void test('the number of tombstones in a mirror is bounded', () => {
  const mirror = createMirrorWithRemovals();
  assert.ok(mirror.size < 600, `${mirror.size} records`);
  assert.deepEqual(
    mirror.listLive().map(({key}) => key),
    ['stays'],
  );
});

void test('a mirror that lags behind evicted tombstones is replaced as a whole', () => {
  const mirror = createMirrorWithRemovals();
  const behind = new TopicMirror(Topic.RUNNERS);
  const records = [
    {key: 'stays', value: 'v', offset: 0},
    {key: 'gone-0', value: 'v', offset: 1},
  ];
  behind.load({records, next: 2, isWhole: true}, 0);
  const delta = mirror.changesSince(behind.next);
  assert.equal(delta.isReplacement, true);
  behind.load({records: delta.records, next: mirror.next, isWhole: true}, 1);
  assert.deepEqual(
    behind.listLive().map(({key}) => key),
    ['stays'],
  );
});

void test('a mirror that lags only a little receives the changes', () => {
  const mirror = createMirrorWithRemovals();
  const delta = mirror.changesSince(mirror.next - 2);
  assert.equal(delta.isReplacement, false);
  assert.equal(delta.records.length, 1);
});

void test('an old record does not restore a removed key', () => {
  const mirror = createMirrorWithRemovals();
  const old = {key: 'gone-0', value: 'v', offset: 1};
  mirror.extend({records: [old], next: mirror.next, isWhole: true}, 9_000);
  assert.equal(mirror.listLive().length, 1);
});
