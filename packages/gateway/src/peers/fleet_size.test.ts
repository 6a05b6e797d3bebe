import assert from 'node:assert/strict';
import {beforeEach, test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {EventLog} from '../observability/event_log.js';
import type {KeyedRecord} from '../records/keyed_record.js';
import {Topic} from '../records/topic.js';
import {TopicMirror} from '../records/topic_mirror.js';
import {createSilentReporter} from '../testing/create_silent_reporter.js';
import {FleetSize} from './fleet_size.js';
import {HostDirectory} from './host_directory.js';
import type {HostEntry} from './host_entry.js';
import {hostKey} from './host_key.js';

let clock: VirtualClock;
let mirror: TopicMirror;
let hostDirectory: HostDirectory;
let fleetSize: FleetSize;

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
  hostDirectory = new HostDirectory({
    clock,
    log: new EventLog({clock, host: 'a1', sink}),
    mirror,
    refusedEntries: createSilentReporter(),
    self: host('a1'),
  });
  fleetSize = new FleetSize({clock, mirror, hostDirectory});
});

void test('hosts that called this one are heard of, but the registry is unknown until it is loaded', () => {
  hostDirectory.recordRequest(host('a2'));
  hostDirectory.recordRequest(host('a3'));
  assert.equal(fleetSize.heardOf, 3);
  assert.equal(fleetSize.registered, undefined);
  assert.equal(fleetSize.registryAgeMs, undefined);
});

void test('the registry tells how many hosts there are, and as of when', () => {
  load('a1', 'a2', 'a3');
  clock.advance(400);
  assert.equal(fleetSize.registered, 3);
  assert.equal(fleetSize.heardOf, 3);
  assert.equal(fleetSize.registryAgeMs, 400);
});

void test('an entry that is removed from the registry no longer counts in it', () => {
  load('a1', 'a2', 'a3');
  const removal = {key: hostKey.forName('a3'), offset: 3};
  mirror.extend({records: [removal], next: 4, isWhole: true}, clock.now());
  assert.equal(fleetSize.registered, 2);
  assert.equal(fleetSize.heardOf, 3);
});
