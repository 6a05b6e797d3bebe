import type {Server} from 'node:http';

/** Stops listening and closes all connections at once. */
export function closeServer(server: Server): void {
  server.close();
  server.closeAllConnections();
}
