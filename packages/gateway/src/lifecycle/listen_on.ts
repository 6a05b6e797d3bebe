import type {Server} from 'node:http';

/** Makes a server listen; rejects when the address cannot be had. */
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
