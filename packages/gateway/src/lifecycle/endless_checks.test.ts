// Guards against a request body without end at the readiness or metrics port, which was read on behind the response.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {RequestPacer, SystemClock} from '@bayspool/kernel';
import {FloodingPeer} from '@bayspool/kernel/testing';
import {Registry} from 'prom-client';
import {findPorts} from '../testing/find_ports.js';
import {MetricsServer} from './metrics_server.js';
import {ReadinessServer} from './readiness_server.js';

const LOCALHOST = '127.0.0.1';
/** Time by which the connection is closed, in ms. */
const TIME_LIMIT_MS = 3_000;
const HEAD = 'POST /path HTTP/1.1\r\nhost: x\r\n';
const BODIES = [
  {
    head: `${HEAD}content-length: 99999999999\r\n\r\n`,
    repeated: 'x'.repeat(65_536),
  },
  {
    head: `${HEAD}transfer-encoding: chunked\r\n\r\n`,
    repeated: '1\r\nx\r\n'.repeat(10_000),
  },
];

for (const name of ['readiness', 'metrics'])
  for (const body of BODIES)
    void test(`a request body without end at the ${name} port is closed: ${body.head.split('\r\n')[2]}`, async context => {
      const [port] = await findPorts(1);
      const pacer = new RequestPacer();
      const options = {ip: LOCALHOST, port, path: '/path', pacer};
      const server =
        name === 'readiness'
          ? new ReadinessServer({...options, isReady: () => true})
          : new MetricsServer({
              ...options,
              clock: new SystemClock(),
              registry: new Registry(),
            });
      await server.start();
      context.after(() => server.stop());
      const closed = FloodingPeer.floodPort(port, body).then(() => 'closed');
      const limit = sleep(TIME_LIMIT_MS, 'still read');
      assert.equal(await Promise.race([closed, limit]), 'closed');
    });
