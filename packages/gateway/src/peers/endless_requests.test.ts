// Guards against requests without end at the port for other hosts, which used up the memory of the host.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RequestPacer} from '@bayspool/kernel';
import {FloodingPeer, MemoryPeak} from '@bayspool/kernel/testing';
import type {RoomExchange} from '../host/room_exchange.js';
import {createSilentLog} from '../testing/create_silent_log.js';
import {findPorts} from '../testing/find_ports.js';
import {PeerServer} from './peer_server.js';
import type {SyncProtocol} from './sync_protocol.js';

const LOCALHOST = '127.0.0.1';
/** Several times the largest body that is taken. */
const MAX_GROWTH_MIB = 48;
const HEAD = 'POST / HTTP/1.1\r\nhost: x\r\n';
const CHUNKED_HEAD = `${HEAD}transfer-encoding: chunked\r\n\r\n`;

const REQUESTS = [
  {
    name: 'body in chunks of one byte',
    head: CHUNKED_HEAD,
    repeated: '1\r\nx\r\n'.repeat(10_000),
  },
  {
    name: 'body with a length',
    head: `${HEAD}content-length: 99999999999\r\n\r\n`,
    repeated: 'x'.repeat(65_536),
  },
  {
    name: 'header section',
    head: HEAD,
    repeated: 'x-line: some value\r\n'.repeat(500),
  },
  {
    name: 'chunks with long extensions',
    head: CHUNKED_HEAD,
    repeated: `1;${'x'.repeat(8_000)}\r\nx\r\n`,
  },
];

for (const {name, ...request} of REQUESTS) {
  void test(`a request of a host without end is closed within bounded memory: ${name}`, async context => {
    const [port] = await findPorts(1);
    const server = new PeerServer({
      pacer: new RequestPacer(),
      ip: LOCALHOST,
      port,
      // No request is complete, so that none of these is used.
      protocol: {} as SyncProtocol,
      rooms: {} as RoomExchange,
      log: createSilentLog(),
    });
    await server.start();
    context.after(() => server.stop());
    const memory = new MemoryPeak();
    await FloodingPeer.floodPort(port, request);
    const growthMib = memory.stop();
    context.diagnostic(`grown by ${growthMib.toFixed(0)} MiB`);
    assert.ok(growthMib < MAX_GROWTH_MIB, `grown by ${growthMib} MiB`);
  });
}
