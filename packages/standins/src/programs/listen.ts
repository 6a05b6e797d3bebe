import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Express} from 'express';

/** Serves an app at `127.0.0.1:9000`-like endpoint and prints a line with the real one. */
export async function listen(
  app: Express,
  endpoint: string,
  name: string,
): Promise<void> {
  const separator = endpoint.lastIndexOf(':');
  const server = createServer(app);
  server.keepAliveTimeout = 60_000;
  await new Promise<void>(resolve =>
    server.listen(
      Number(endpoint.slice(separator + 1)),
      endpoint.slice(0, separator),
      resolve,
    ),
  );
  const {address, port} = server.address() as AddressInfo;
  console.log(
    JSON.stringify({
      message: 'listening',
      standin: name,
      address: `${address}:${port}`,
    }),
  );
}
