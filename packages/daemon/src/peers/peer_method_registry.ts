import type {Logger} from '@bayspool/kernel';
import {JSONRPCServer} from 'json-rpc-2.0';
import type {z} from 'zod';

/** Registry of the JSON-RPC methods that peers may call; each plugin registers its own. */
export class PeerMethodRegistry {
  readonly server: JSONRPCServer;

  constructor(logger: Logger) {
    this.server = new JSONRPCServer({
      errorListener: (message, error) => {
        logger.info('peer call failed', {message, error: String(error)});
      },
    });
  }

  /** Registers a method; `handle` receives parameters that `params` has validated. */
  register<T>(
    name: string,
    params: z.ZodType<T>,
    handle: (params: T) => Promise<unknown> | unknown,
  ): void {
    this.server.addMethod(name, async (raw: unknown) =>
      handle(params.parse(raw)),
    );
  }
}
