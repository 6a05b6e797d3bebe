import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import {FaultMode} from './fault_mode.js';
import {FaultProxy} from './fault_proxy.js';

const DELAY_MS = 50;

// Guards against bytes that are lost on a delaying way because one side closes behind them.
void test('what is sent before a connection is closed arrives although it is delayed', async context => {
  const server = createServer(socket => void socket.end('all of it'));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const proxy = new FaultProxy({target: `127.0.0.1:${port}`});
  const address = await proxy.start();
  context.after(async () => {
    server.close();
    await proxy.stop();
  });
  proxy.set(FaultMode.PASS, {delayMs: DELAY_MS});
  const caller = connect(Number(address.split(':')[1]), '127.0.0.1');
  let received = '';
  caller.on('data', chunk => (received += chunk.toString()));
  await once(caller, 'close');
  assert.equal(received, 'all of it');
});
