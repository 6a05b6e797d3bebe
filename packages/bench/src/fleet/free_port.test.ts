// Two fleets that drew their ports by chance from one range met on one: a host could not listen, once in a run of all tests.
import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {createServer} from 'node:net';
import {test} from 'node:test';
import {promisify} from 'node:util';
import {freePort} from './free_port.js';

/** What comes of it if another process draws the same port. */
const DRAW = `
  const {createSocket} = require('node:dgram');
  const socket = createSocket('udp4');
  socket.once('error', ({code}) => { console.log(code); process.exit(); });
  const port = Number(process.argv[1]);
  socket.bind({address: '127.0.0.1', port, exclusive: true}, () => { console.log('given'); process.exit(); });
`;

void test('a port that a fleet was given is not given to the fleet of another process while it runs', async () => {
  const port = await freePort();
  const run = promisify(execFile);
  const {stdout} = await run(process.execPath, ['-e', DRAW, String(port)]);
  assert.equal(stdout.trim(), 'EADDRINUSE');
});

void test('a port that a fleet was given is free for its host', async () => {
  const port = await freePort();
  const server = createServer();
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', resolve);
  });
  server.close();
});
