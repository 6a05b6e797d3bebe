import assert from 'node:assert/strict';
import {beforeEach, test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {EventLog} from '../observability/event_log.js';
import type {KeyedRecord} from '../records/keyed_record.js';
import {Topic} from '../records/topic.js';
import {TopicMirror} from '../records/topic_mirror.js';
import {createSilentReporter} from '../testing/create_silent_reporter.js';
import {HostDirectory} from './host_directory.js';
import type {HostEntry} from './host_entry.js';
import {hostKey} from './host_key.js';
import {MembershipView} from './membership_view.js';

let clock: VirtualClock;
let mirror: TopicMirror;
let hostDirectory: HostDirectory;
let membership: MembershipView;

function host(name: string): HostEntry {
  return {name, place: 'a', address: '127.0.0.1:1', capacity: 1};
}

function entries(...names: string[]): KeyedRecord[] {
  return names.map((name, offset) => ({
    key: hostKey.forName(name),
    value: JSON.stringify(host(name)),
    offset,
  }));
}

function load(...names: string[]): void {
  const page = {records: entries(...names), next: names.length, isWhole: true};
  mirror.load(page, clock.now());
}

beforeEach(() => {
  clock = new VirtualClock();
  mirror = new TopicMirror(Topic.HOSTS);
  const sink = {write: () => undefined};
  const log = new EventLog({clock, host: 'a1', sink});
  hostDirectory = new HostDirectory({
    clock,
    log,
    mirror,
    refusedEntries: createSilentReporter(),
    self: host('a1'),
  });
  membership = new MembershipView({clock, log, mirror, hostDirectory});
});

void test('hosts that called this one are heard of, but the registry is unknown until it is loaded', () => {
  hostDirectory.recordRequest(host('a2'));
  hostDirectory.recordRequest(host('a3'));
  assert.equal(membership.heardOf, 3);
  assert.equal(membership.registered, undefined);
  assert.equal(membership.registryAgeMs, undefined);
  assert.equal(membership.hosts, undefined);
  assert.deepEqual(membership.listSharers(), []);
  assert.deepEqual(membership.listSharersIn('a'), []);
});

void test('the registry tells how many hosts there are, and as of when', () => {
  load('a1', 'a2', 'a3');
  clock.advance(400);
  assert.equal(membership.registered, 3);
  assert.equal(membership.hosts, 3);
  assert.equal(membership.registryAgeMs, 400);
  assert.deepEqual([...membership.listSharers()].sort(), ['a1', 'a2', 'a3']);
});

void test('an entry that is removed from the registry no longer counts in it', () => {
  load('a1', 'a2', 'a3');
  const removal = {key: hostKey.forName('a3'), offset: 3};
  mirror.extend({records: [removal], next: 4, isWhole: true}, clock.now());
  assert.equal(membership.registered, 2);
  assert.equal(membership.heardOf, 3);
});

void test('hosts that fell silent still share bounds', () => {
  load('a1', 'a2', 'a3');
  for (const name of ['a2', 'a3']) hostDirectory.recordFailure(name, 'silent');
  clock.advance(20_000);
  assert.equal(hostDirectory.liveCount, 1);
  assert.equal(membership.hosts, 3);
});

void test('a registry that holds this host from an earlier process is complete once it is loaded', () => {
  membership.recordEntered(false);
  assert.equal(membership.isComplete, false);
  load('a1', 'a2', 'a3');
  assert.equal(membership.isComplete, true);
});

void test('a registry that was loaded as hosts entered it is not complete until it is read some time after this host entered', () => {
  load('a2');
  clock.advance(50);
  membership.recordEntered(true);
  clock.advance(60_000);
  assert.equal(membership.isComplete, false, 'it was not read again');
  mirror.extend({records: [], next: 1, isWhole: true}, clock.now());
  assert.equal(membership.isComplete, true);
});

void test('a host that could not enter the registry does not take it for complete', () => {
  load('a2', 'a3');
  clock.advance(60_000);
  mirror.extend({records: [], next: 2, isWhole: true}, clock.now());
  assert.equal(membership.isComplete, false);
});
