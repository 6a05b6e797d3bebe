import {request as startRequest} from 'node:http';
import type {Socket} from 'node:net';
import {afterReads} from '@bayspool/kernel';
import type {Clock} from '@bayspool/kernel';
import {ConnectTimeout} from './connect_timeout.js';
import type {Dialer} from './dialer.js';
import {openSocket} from './open_socket.js';
import type {Runner} from './runner.js';

interface Options {
  readonly clock: Clock;
  readonly dialer: Dialer;
  /** Path of a service's health check. */
  readonly healthPathOf: (service: string) => string;
}

/** Time within which the response has to begin, in ms: longer than a runner's usual queue, well below a caller's patience. */
const RESPONSE_TIMEOUT_MS = 300;

/** Finds out whether a runner responds on a new connection, whatever it responds. */
export class RunnerProbe {
  constructor(private readonly options: Options) {}

  /** @returns whether the runner responded in time */
  async probe({entry: {address, service}}: Runner): Promise<boolean> {
    const {clock, dialer, healthPathOf} = this.options;
    const connectTimeout = new ConnectTimeout();
    try {
      const socket = await openSocket({clock, dialer, address, connectTimeout});
      return await this.requestHealth(socket, healthPathOf(service));
    } catch {
      // Whatever prevented the connection, the runner was not reached.
      return false;
    }
  }

  private requestHealth(socket: Socket, path: string): Promise<boolean> {
    return new Promise(resolve => {
      const timer = afterReads(this.options.clock, RESPONSE_TIMEOUT_MS, () =>
        finish(false),
      );
      function finish(hasResponded: boolean): void {
        timer.cancel();
        socket.destroy();
        resolve(hasResponded);
      }
      socket.on('error', () => finish(false));
      startRequest({createConnection: () => socket, path})
        .once('response', response => {
          response.resume();
          finish(true);
        })
        .on('error', () => finish(false))
        .end();
    });
  }
}
