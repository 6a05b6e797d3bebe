// Guards against passing a relayed response on as whole although the other host broke off in the middle of its head.
import assert from 'node:assert/strict';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {CallKind} from '@bayspool/decisions/calls';
import {hostKey} from '../peers/host_key.js';
import {Topic} from '../records/topic.js';
import {LinkFault} from '../testing/link_fault.js';
import {MultiHostFixture} from '../testing/multi_host_fixture.js';
import {plainHeaderNames as names} from '../testing/plain_header_names.js';

/** What the other host sends of its response before it closes the connection, in turn. */
const TRUNCATED_HEADS = [
  'HTTP/1.1 200',
  'HTTP/1.1 200 OK\r\n',
  'HTTP/1.1 200 OK\r\ncontent-le',
  'HTTP/1.1 200 OK\r\ncontent-length: 1',
  'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r',
];
/** Time from which the callers of a host that is cut off are served by others, in ms. */
const CONTACT_MS = 3_000;
const JUDGED_MS = 2_000;
const OK = 200;
/** A body that is an event of a stream as well. */
const WHOLE = 'id: 1\ndata: whole\n\n';

/** Registers a host that breaks off in the head of each response. @returns how often it was asked */
async function registerBrokenHost(
  context: TestContext,
  {gateways}: MultiHostFixture,
): Promise<() => number> {
  let asked = 0;
  const server = createServer(socket => {
    context.after(() => socket.destroy());
    socket.on('error', () => undefined);
    socket.on('data', () => {
      socket.end(TRUNCATED_HEADS[asked % TRUNCATED_HEADS.length]);
      asked += 1;
    });
  });
  context.after(() => server.close());
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;
  const name = 'broken';
  const entry = {name, place: 'a', address, relayAddress: address, capacity: 0};
  gateways.store.put(Topic.HOSTS, hostKey.forName(name), entry);
  return () => asked;
}

for (const kind of [CallKind.SAFE, CallKind.UNSAFE, CallKind.STREAM])
  void test(`a call of kind ${kind} gets a whole response or none, if another host breaks off`, async context => {
    const fixture = new MultiHostFixture({
      route: {kind},
      hasFaultyLinks: true,
      script: ({request, runner}, response) => {
        const head = {[names.requestId]: request, [names.signature]: runner};
        response.writeHead(200, head).end(WHOLE);
      },
    });
    context.after(() => fixture.stop());
    await fixture.start();
    await fixture.callFor({forMs: 500});
    const countAsked = await registerBrokenHost(context, fixture);
    fixture.gateways.hosts[0].dialer.setFault(LinkFault.CLOSED);
    await fixture.callFor({forMs: CONTACT_MS, hosts: [0]});
    const answers = await fixture.callFor({forMs: JUDGED_MS, hosts: [0]});
    const successes = answers.filter(({status}) => status === OK);
    assert.ok(countAsked() >= TRUNCATED_HEADS.length, `${countAsked()} asked`);
    assert.ok(successes.length > 0);
    for (const {body, isComplete} of successes)
      assert.deepEqual({body, isComplete}, {body: WHOLE, isComplete: true});
  });
