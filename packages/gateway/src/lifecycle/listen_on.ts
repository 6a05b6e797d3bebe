import type {Server} from 'node:http';

/** Binds a server to an address; rejects if the address is not available. */
export function listenOn(
  server: Server,
  ip: string,
  port: number,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, () => resolve());
  });
}
