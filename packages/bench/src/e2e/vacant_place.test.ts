import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {coreLogSeed} from '../fleet/core_log_seed.js';
import {Fleet} from '../fleet/fleet.js';
import {slipsRun} from '../fleet/slips_run.js';
import {Caller} from '../load/caller.js';

const KEYS = 16;
/** Last lines of each host that a failure shows. */
const LINES_SHOWN = 120;
/** The second place of the configuration never had a host. */
const fleet = new Fleet({
  places: {'hall-a': {hosts: 2, engines: 0}},
  seed: coreLogSeed({
    places: ['hall-a', 'hall-b'],
    workspaces: ['survey', 'mining'],
    home: 'hall-a',
  }),
  versions: [],
});
const caller = new Caller({workspace: 'survey'});

/** What the hosts wrote last: a refusal says that another host did not answer, and only these tell what that one did. */
function printLogs(): void {
  for (const {id, process} of fleet.hosts)
    for (const line of process?.lines.slice(-LINES_SHOWN) ?? [])
      console.error(`${id}: ${line}`);
}

before(() => fleet.start());
after(() => fleet.stop());

void test('keys that fall to a place without hosts are claimed all the same, and run once', async () => {
  const keys = Array.from({length: KEYS}, (_, i) => `key-${i}`);
  const use = (key: string, host: number) =>
    caller.service(fleet.hosts[host].callerAddress, 'POST', '/slips', {
      'idempotency-key': key,
    });
  const uses = keys.flatMap(key => [use(key, 0), use(key, 1), use(key, 0)]);
  const results = await Promise.all(uses);
  const refused = results.filter(({status}) => status >= 300);
  if (refused.length > 0) printLogs();
  assert.deepEqual(
    refused,
    [],
    'answers that are no success, with what they say',
  );
  assert.equal((await slipsRun(fleet)).length, KEYS);
});
