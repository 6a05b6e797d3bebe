import type {Server} from 'node:http';

/** Stops listening and closes all connections immediately. */
export function closeServer(server: Server): void {
  server.close();
  server.closeAllConnections();
}
