// Guards against refusing callers at hosts whose links to all runners are cut, while the other hosts serve theirs.
import assert from 'node:assert/strict';
import {afterEach, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {LinkFault} from '../testing/link_fault.js';
import {MultiHostFixture} from '../testing/multi_host_fixture.js';

type Answer = MultiHostFixture['answers'][number];

/** Time after the begin of a cut from which callers have to be served, in ms. */
const CONTACT_MS = 3_000;
/** Time for which they are judged, in ms. */
const JUDGED_MS = 3_000;
/** One of this many calls may fail. */
const CALLS_PER_FAILURE = 50;
const OK = 200;

let fixture: MultiHostFixture;

afterEach(() => fixture.stop());

function cut(hosts: readonly number[], fault: LinkFault): void {
  for (const host of hosts) fixture.gateways.hosts[host].dialer.setFault(fault);
}

/** Checks the calls sent from the given time on. */
function assertServed(answers: readonly Answer[], from: number): void {
  const judged = answers.filter(
    ({endedAt, durationMs}) => endedAt - durationMs >= from,
  );
  const failed = judged.filter(({status, isComplete}) => {
    return status !== OK || !isComplete;
  });
  const shown = failed.map(
    ({host, status, body, durationMs}) =>
      `${host}: ${status} ${body.trim()} after ${Math.round(durationMs)} ms`,
  );
  assert.ok(
    failed.length <= judged.length / CALLS_PER_FAILURE,
    `${failed.length} of ${judged.length} calls failed:\n${shown.join('\n')}`,
  );
}

void test('callers of a host whose connections to all runners are reset are served', async () => {
  fixture = new MultiHostFixture({hasFaultyLinks: true});
  await fixture.start();
  await fixture.callFor({forMs: 500});
  cut([0], LinkFault.RESET);
  await fixture.callFor({forMs: CONTACT_MS});
  const from = performance.now();
  const answers = await fixture.callFor({forMs: JUDGED_MS});
  await sleep(0);
  const atHost = answers.filter(({host}) => host === 'host-1');
  assertServed(atHost, from);
});
