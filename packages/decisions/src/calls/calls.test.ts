import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {CallKind} from './call_kind.js';
import type {CallRoute} from './call_route.js';
import {chooseService} from './choose_service.js';
import {EventSplitter} from './event_splitter.js';
import {firstByHash} from './first_by_hash.js';
import {isVersionSuspect} from './is_version_suspect.js';
import {judgeVersion} from './judge_version.js';
import {rankByHash} from './rank_by_hash.js';
import {RetryBudget} from './retry_budget.js';
import {rolloutShare} from './rollout_share.js';
import {RouteTable} from './route_table.js';
import {RunnerHealth} from './runner_health.js';
import {SessionVersions} from './session_versions.js';

const route: CallRoute = {
  name: 'r',
  hostName: 'a.example',
  pathPrefix: '/x/',
  kind: CallKind.RESUMABLE,
  timeLimitMs: 8_000,
  latencyTargetMs: 2_000,
  pauseTargetMs: 1_000,
  priority: 0,
  attempts: 3,
  isPublic: true,
  models: ['small', 'large'],
  targets: [{service: 'svc', weight: 1}],
};

void test('the longest prefix of the host name wins, queries and ports aside', () => {
  const deeper = {...route, name: 'deeper', pathPrefix: '/x/y/'};
  const table = new RouteTable([route, deeper]);
  assert.equal(table.find('A.example:80', '/x/y/1?z=/x/')?.name, 'deeper');
  assert.equal(table.find('a.example', '/x/z')?.name, 'r');
  assert.equal(table.find('a.example', '/y/x/'), undefined);
  assert.equal(table.find('b.example', '/x/'), undefined);
});

void test('weights are kept over many keys, and a key keeps its service', () => {
  const targets = [
    {service: 'nine', weight: 90},
    {service: 'one', weight: 10},
  ];
  const split = {...route, targets};
  const keys = Array.from({length: 2_000}, (_, i) => `key-${i}`);
  const ones = keys.filter(key => chooseService(split, key) === 'one');
  assert.ok(ones.length > 140 && ones.length < 260, `${ones.length}`);
  assert.equal(chooseService(split, 'key-1'), chooseService(split, 'key-1'));
  const none = {...route, targets: [...targets, {service: 'none', weight: 0}]};
  assert.ok(keys.every(key => chooseService(none, key) !== 'none'));
});

void test('hosts rank alike, and losing one moves no other', () => {
  const names = ['a', 'b', 'c', 'd'];
  const ranked = rankByHash('key', names);
  assert.deepEqual(rankByHash('key', [...names].reverse()), ranked);
  const without = rankByHash(
    'key',
    names.filter(name => name !== ranked[1]),
  );
  assert.deepEqual(without, [ranked[0], ranked[2], ranked[3]]);
});

void test('repeats stay within the ratio over the window, also with several hosts', () => {
  const clock = new VirtualClock();
  const options = {
    clock,
    ratio: () => 0.5,
    extra: () => 8,
    windowMs: 10_000,
  };
  const budgets = [1, 2].map(
    () => new RetryBudget({...options, hosts: () => 2}),
  );
  let firsts = 0;
  let repeats = 0;
  for (let i = 0; i < 400; i++) {
    clock.advance(20);
    const budget = budgets[i % 2];
    budget.countFirst();
    firsts += 1;
    while (budget.trySpend()) repeats += 1;
  }
  assert.ok(repeats <= firsts * 0.5 + 8, `${repeats} of ${firsts}`);
  assert.ok(repeats > firsts * 0.4, `${repeats} of ${firsts}`);
  clock.advance(20_000);
  assert.ok(budgets[0].left <= 8);
});

void test('the share of a new version is constant first, never falls, and ends at all', () => {
  const durationMs = 10_000;
  const shares = Array.from({length: 101}, (_, i) =>
    rolloutShare({elapsedMs: i * 100, durationMs, hasSession: false}),
  );
  assert.ok(shares.slice(0, 50).every(share => share === shares[0]));
  assert.ok(shares[0] < 0.15);
  assert.ok(shares.every((share, i) => i === 0 || share >= shares[i - 1]));
  assert.equal(shares[75], 1);
});

void test('sessions get the share of the other calls, but nothing in the first half', () => {
  const durationMs = 10_000;
  const shareAt = (elapsedMs: number, hasSession: boolean) =>
    rolloutShare({elapsedMs, durationMs, hasSession});
  for (let elapsedMs = 0; elapsedMs <= durationMs; elapsedMs += 100) {
    const share = shareAt(elapsedMs, true);
    if (elapsedMs <= durationMs / 2) assert.equal(share, 0);
    if (elapsedMs > 5_200) assert.equal(share, shareAt(elapsedMs, false));
  }
});

void test('a version is bad for failures or slowness beyond chance, not below', () => {
  const old = {ended: 300, failed: 12, slow: 3};
  const sound = {ended: 40, failed: 2, slow: 1};
  assert.equal(judgeVersion({fresh: sound, old}), 'open');
  assert.equal(judgeVersion({fresh: {...sound, failed: 14}, old}), 'bad');
  assert.equal(judgeVersion({fresh: {...sound, slow: 14}, old}), 'bad');
  const common = {ended: 300, failed: 60, slow: 3};
  assert.equal(
    judgeVersion({fresh: {...sound, failed: 9}, old: common}),
    'open',
  );
  const few = {ended: 5, failed: 5, slow: 0};
  assert.equal(judgeVersion({fresh: few, old}), 'open');
});

void test('a version is suspect once it seems to fail far more than the old one', () => {
  const none = {ended: 0, failed: 0, slow: 0};
  const old = {ended: 300, failed: 3, slow: 0};
  const isSuspect = (ended: number, failed: number, before = old) =>
    isVersionSuspect({fresh: {ended, failed, slow: 0}, old: before});
  assert.equal(isSuspect(1, 1, none), false);
  assert.equal(isSuspect(10, 3), true);
  assert.equal(isSuspect(100, 5), false);
  assert.equal(isSuspect(100, 20), true);
  const common = {ended: 300, failed: 45, slow: 0};
  assert.equal(isSuspect(100, 20, common), false);
});

void test('sound versions with a natural share of failures are hardly ever judged bad', () => {
  let seed = 1;
  const random = () => (seed = (seed * 16_807) % 2_147_483_647) / 2_147_483_647;
  let wrong = 0;
  for (let run = 0; run < 200; run++) {
    const fresh = {ended: 0, failed: 0, slow: 0};
    const old = {ended: 0, failed: 0, slow: 0};
    for (let i = 0; i < 1_000; i++) {
      const tally = random() < 0.1 ? fresh : old;
      tally.ended += 1;
      if (random() < 0.14) tally.failed += 1;
      if (judgeVersion({fresh, old}) === 'open') continue;
      wrong += 1;
      break;
    }
  }
  assert.ok(wrong <= 4, `${wrong} of 200 sound versions judged bad`);
});

void test('a session keeps its version for a time after its last call', () => {
  const clock = new VirtualClock();
  const sessions = new SessionVersions({clock, keepMs: 5_000});
  sessions.set('s', 'v1');
  clock.advance(5_000);
  assert.equal(sessions.get('s'), 'v1');
  clock.advance(20_000);
  assert.equal(sessions.get('s'), undefined);
});

void test('events come out whole, however their bytes are cut', () => {
  const text =
    'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\nid: 3\nda';
  for (const size of [1, 2, 3, 7, 100]) {
    const splitter = new EventSplitter();
    const events = [];
    for (let at = 0; at < text.length; at += size)
      events.push(...splitter.push(Buffer.from(text.slice(at, at + size))));
    assert.deepEqual(
      events.map(({id}) => id),
      [1, 2, undefined],
    );
    const bytes = Buffer.concat(events.map(event => event.bytes)).toString();
    assert.equal(bytes, text.slice(0, text.lastIndexOf('id: 3')));
    assert.equal(splitter.pendingBytes, 'id: 3\nda'.length);
  }
});

void test('a runner that fails more often than the others is left alone for a time', () => {
  const clock = new VirtualClock();
  const health = new RunnerHealth({clock});
  for (let i = 0; i < 5; i++) {
    health.countFailure();
    health.countOk();
  }
  assert.equal(health.ejectIfWorse(0.4, 0, 0), undefined);
  const forMs = health.ejectIfWorse(0.05, 0, 0);
  assert.ok(forMs !== undefined && health.isEjected);
  clock.advance(forMs + 1);
  assert.equal(health.isEjected, false);
});

void test('what other hosts saw counts for an ejection', () => {
  const health = new RunnerHealth({clock: new VirtualClock()});
  health.countFailure();
  assert.equal(health.ejectIfWorse(0.05, 0, 0), undefined);
  assert.notEqual(health.ejectIfWorse(0.05, 1, 4), undefined);
});

void test('the first by hash is the one that ranks first', () => {
  const names = Array.from({length: 50}, (_, i) => `runner-${i}`);
  for (let i = 0; i < 200; i++)
    assert.equal(
      firstByHash(`key-${i}`, names),
      rankByHash(`key-${i}`, names)[0],
    );
  assert.equal(firstByHash('key', []), undefined);
});
