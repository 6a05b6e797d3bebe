import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {MultiHostFixture} from '../testing/multi_host_fixture.js';

/** Time after the first start in which the registry is known to be complete, in ms; the hosts enter it in the first second. */
const KNOWN_WITHIN_MS = 6_000;

void test('hosts that start for the first time soon know that the registry is complete', async context => {
  const fixture = new MultiHostFixture();
  context.after(() => fixture.stop());
  await fixture.start();
  await sleep(KNOWN_WITHIN_MS);
  const complete = fixture.gateways
    .events('membership_known')
    .filter(({isComplete}) => isComplete)
    .map(({host, registered}) => ({host, registered}));
  const hosts = fixture.gateways.hosts.map(({settings}) => settings.host);
  assert.deepEqual(
    complete.sort((a, b) => (String(a.host) < String(b.host) ? -1 : 1)),
    hosts.map(host => ({host, registered: hosts.length})),
  );
});
