import assert from 'node:assert/strict';
import {beforeEach, test} from 'node:test';
import type {RunnerEntry} from '@bayspool/decisions/calls';
import {VirtualClock} from '@bayspool/kernel';
import type {AvailabilityChange} from './availability_change.js';
import {StatedAvailabilityRegistry} from './stated_availability_registry.js';

const entry: RunnerEntry = {
  id: 'i-0',
  service: 'svc',
  version: 'v1',
  address: '127.0.0.1:1',
  place: 'a',
  slots: 4,
  isDraining: false,
};

let changes: AvailabilityChange[];
let registry: StatedAvailabilityRegistry;

beforeEach(() => {
  changes = [];
  registry = new StatedAvailabilityRegistry({
    clock: new VirtualClock(),
    onChange: (_, change) => changes.push(change),
  });
});

void test('a response to a request sent before the entry lapsed counts for the runner after its return', () => {
  const before = registry.get(entry);
  const after = registry.get(entry);
  before.updateFromResponse({
    limit: {},
    brittle: {},
    leaving: {isLeaving: true},
    rest: {},
  });
  assert.ok(after.isLeaving);
});

void test('a malformed value is reported once, also if sound responses come between', () => {
  const availability = registry.get(entry);
  const sound = {limit: {}, brittle: {}, leaving: {isLeaving: false}, rest: {}};
  for (let i = 0; i < 10; i++) {
    availability.updateFromResponse({...sound, rest: {malformed: 'soon'}});
    availability.updateFromResponse(sound);
  }
  assert.deepEqual(changes, [{malformed: 'soon'}]);
});
