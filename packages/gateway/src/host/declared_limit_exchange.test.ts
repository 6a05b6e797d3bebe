// Each of many hosts sent a runner in need a request before it knew: together more than the runner takes.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {EventLog} from '../observability/event_log.js';
import {DirectoryFixture} from '../testing/directory_fixture.js';
import {PlainReader} from '../testing/plain_reader.js';
import {DeclaredLimitExchange} from './declared_limit_exchange.js';

/** A host that knows one runner. */
function createHost(bornAt?: number) {
  const fixture = new DirectoryFixture(new PlainReader());
  const {clock, directory} = fixture;
  const log = new EventLog({clock, host: 'h', sink: {write: () => undefined}});
  put(fixture, bornAt);
  const limits = new DeclaredLimitExchange({clock, log, directory});
  fixture.onLimit = (entry, change) => limits.recordChange(entry, change);
  fixture.onGone = id => limits.removeRunner(id);
  const limit = () => directory.all()[0].limit;
  return {fixture, clock, limits, limit};
}

function put(fixture: DirectoryFixture, bornAt?: number): void {
  const entry = {
    id: 'one',
    service: 'svc',
    version: 'v1',
    place: 'a',
    address: '127.0.0.1:1',
    slots: 8,
    isDraining: false,
    bornAt,
  };
  fixture.put(entry.id, JSON.stringify(entry));
}

void test('what one host heard of a runner holds at another, as of when it was heard', () => {
  const [one, two] = [createHost(), createHost()];
  one.limit().updateFromResponse({perSecond: 2}, 0, one.clock.now());
  one.clock.advance(700);
  two.clock.advance(5_000);
  two.limits.applyPeerObservations(one.limits.listObservations(), 300);
  assert.equal(two.limit().perSecond, 2);
  assert.equal(two.limit().ageMs, 1_000);
});

void test('of what several hosts heard the newest counts, in whichever order it comes', () => {
  const host = createHost();
  host.clock.advance(10_000);
  host.limits.applyPeerObservations(
    [{runner: 'one', perSecond: 2, ageMs: 500}],
    0,
  );
  host.limits.applyPeerObservations([{runner: 'one', ageMs: 800}], 0);
  assert.equal(host.limit().perSecond, 2);
  host.limits.applyPeerObservations([{runner: 'one', ageMs: 100}], 0);
  assert.equal(host.limit().perSecond, undefined);
  host.limits.applyPeerObservations(
    [{runner: 'one', perSecond: 2, ageMs: 400}],
    0,
  );
  assert.equal(host.limit().perSecond, undefined);
});

void test('a new start of a runner begins without a limit, whatever is told of the one before', () => {
  const [one, two] = [createHost(1_000), createHost(1_000)];
  one.limit().updateFromResponse({perSecond: 2}, 0, one.clock.now());
  put(two.fixture, 9_000);
  two.clock.advance(100);
  two.limits.applyPeerObservations(one.limits.listObservations(), 0);
  assert.equal(two.limit().perSecond, undefined);
  put(one.fixture, 9_000);
  assert.equal(one.limit().perSecond, undefined);
  assert.deepEqual(one.limits.listObservations(), []);
});

void test('only a host that would send far too much is told at once', () => {
  const host = createHost();
  host.clock.advance(10_000);
  host.limit().updateFromResponse({perSecond: 2}, 0, host.clock.now());
  host.clock.advance(50);
  const know = (perSecond: number | undefined, ageMs: number) =>
    host.limits.isUrgentFor([{runner: 'one', perSecond, ageMs}]);
  assert.equal(host.limits.isUrgentFor([]), true);
  assert.equal(know(undefined, 900), true);
  assert.equal(know(9, 900), true);
  assert.equal(know(2.5, 900), false);
  assert.equal(know(undefined, 10), false);
  host.limit().updateFromResponse({}, host.clock.now(), host.clock.now());
  assert.equal(know(9, 900), false);
});
