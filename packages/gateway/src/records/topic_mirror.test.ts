import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Topic} from './topic.js';
import {TopicMirror} from './topic_mirror.js';

const REMOVED_KEYS = 2_000;

/** A copy in which one key stays and many came and went. */
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

void test('removals do not pile up in a copy', () => {
  const mirror = createMirrorWithRemovals();
  assert.ok(mirror.size < 600, `${mirror.size} records`);
  assert.deepEqual(
    mirror.listLive().map(({key}) => key),
    ['stays'],
  );
});

void test('a copy that is behind what was forgotten is replaced as a whole', () => {
  const worn = createMirrorWithRemovals();
  const behind = new TopicMirror(Topic.RUNNERS);
  const records = [
    {key: 'stays', value: 'v', offset: 0},
    {key: 'gone-0', value: 'v', offset: 1},
  ];
  behind.load({records, next: 2, isWhole: true}, 0);
  const news = worn.changesSince(behind.next);
  assert.equal(news.isReplacement, true);
  behind.load({records: news.records, next: worn.next, isWhole: true}, 1);
  assert.deepEqual(
    behind.listLive().map(({key}) => key),
    ['stays'],
  );
});

void test('a copy that is close behind gets what changed', () => {
  const worn = createMirrorWithRemovals();
  const news = worn.changesSince(worn.next - 2);
  assert.equal(news.isReplacement, false);
  assert.equal(news.records.length, 1);
});

void test('a removed key does not come back with an old record', () => {
  const worn = createMirrorWithRemovals();
  const old = {key: 'gone-0', value: 'v', offset: 1};
  worn.extend({records: [old], next: worn.next, isWhole: true}, 9_000);
  assert.equal(worn.listLive().length, 1);
});
