// Guards against header lines that are left out because a message has many of them.
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {afterEach, beforeEach, test} from 'node:test';
import {exchangeRaw} from '../testing/exchange_raw.js';
import {GatewayFixture} from '../testing/gateway_fixture.js';
import {plainHeaderNames as names} from '../testing/plain_header_names.js';

/** More lines than Node keeps by default, without a blank behind the name. */
const LINES = Array.from({length: 3_000}, () => 'a:');
const HEAD_END = '\r\n\r\n';

let fixture: GatewayFixture;

beforeEach(() => {
  fixture = new GatewayFixture();
});

afterEach(() => fixture.stop());

/** Starts a runner that keeps the head of its request, and answers with many header lines. */
async function startRunner(heads: string[]) {
  const sockets: Socket[] = [];
  const server = createServer(socket => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', chunk => {
      const head = chunk.toString('latin1');
      if (head.startsWith('GET /health')) return;
      heads.push(head);
      const id = new RegExp(`${names.requestId}: (\\S+)`, 'i').exec(head)?.[1];
      const lines = [
        ...LINES,
        `${names.requestId}: ${id}`,
        `${names.signature}: signed`,
        'content-length: 2',
      ];
      socket.write(`HTTP/1.1 200 OK\r\n${lines.join('\r\n')}${HEAD_END}ok`);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const entry = {
    id: 'many',
    service: 'svc',
    version: 'v1',
    place: 'a',
    address: `127.0.0.1:${port}`,
    slots: 8,
    isDraining: false,
  };
  const stop = () => {
    server.close();
    for (const socket of sockets) socket.destroy();
  };
  return {entry, start: async () => undefined, stop};
}

void test('a request and a response with very many short lines ahead of the usual headers keep all of them', async () => {
  const heads: string[] = [];
  await fixture.serve({}, [await startRunner(heads)]);
  const {port, request} = fixture.describeCall();
  const [line, ...rest] = request.split('\r\n');
  const crowded = [line, ...LINES, ...rest].join('\r\n');
  const {text} = await exchangeRaw({port, request: crowded});
  assert.match(text, /^HTTP\/1.1 200 /);
  const count = (head: string) => head.split(/\r\na:/i).length - 1;
  assert.equal(count(text), LINES.length);
  assert.match(text, new RegExp(`${names.signature}: signed`, 'i'));
  assert.equal(count(heads[0]), LINES.length);
});
