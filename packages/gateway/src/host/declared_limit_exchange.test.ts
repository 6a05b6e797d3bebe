// Without an exchange of declared limits, each of many hosts sends an overloaded runner a request before it learns of
// the limit; together these are more requests than the runner accepts.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {EventLog} from '../observability/event_log.js';
import {DirectoryFixture} from '../testing/directory_fixture.js';
import {PlainReader} from '../testing/plain_reader.js';
import {DeclaredLimitExchange} from './declared_limit_exchange.js';

/** Creates a host that knows one runner. */
function createHost(bornAt?: number) {
  const fixture = new DirectoryFixture(new PlainReader());
  const {clock, directory} = fixture;
  const log = new EventLog({clock, host: 'h', sink: {write: () => undefined}});
  put(fixture, bornAt);
  const limits = new DeclaredLimitExchange({clock, log, directory});
  fixture.onLimitChange = (entry, change) => limits.recordChange(entry, change);
  fixture.onRemoved = id => limits.removeRunner(id);
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

void test('a limit declared to one host applies at another, with its age', () => {
  const [one, two] = [createHost(), createHost()];
  one.limit().updateFromResponse({perSecond: 2}, 0, one.clock.now());
  one.clock.advance(700);
  two.clock.advance(5_000);
  two.limits.applyPeerObservations(one.limits.listObservations(), 300);
  assert.equal(two.limit().perSecond, 2);
  assert.equal(two.limit().ageMs, 1_000);
});

void test("the newest of several hosts' observations applies, in whichever order they arrive", () => {
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

void test('a new incarnation of a runner starts without a limit, whatever peers observed of the previous one', () => {
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

void test('only a host that would send far too much is updated immediately', () => {
  const host = createHost();
  host.clock.advance(10_000);
  host.limit().updateFromResponse({perSecond: 2}, 0, host.clock.now());
  host.clock.advance(50);
  const isUrgent = (perSecond: number | undefined, ageMs: number) =>
    host.limits.isUrgentFor([{runner: 'one', perSecond, ageMs}]);
  assert.equal(host.limits.isUrgentFor([]), true);
  assert.equal(isUrgent(undefined, 900), true);
  assert.equal(isUrgent(9, 900), true);
  assert.equal(isUrgent(2.5, 900), false);
  assert.equal(isUrgent(undefined, 10), false);
  host.limit().updateFromResponse({}, host.clock.now(), host.clock.now());
  assert.equal(isUrgent(9, 900), false);
});
