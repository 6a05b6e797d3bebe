import type {Clock} from '@bayspool/kernel';
import {ConnectFailure} from './connect_failure.js';
import {ConnectTimeout} from './connect_timeout.js';
import {CONNECTION_REFUSED} from './connection_refused.js';
import type {Dialer} from './dialer.js';
import {ListenerState} from './listener_state.js';
import {openSocket} from './open_socket.js';

interface Options {
  readonly clock: Clock;
  readonly dialer: Dialer;
}

/** Finds out by one connect whether a process listens at an address; nothing is sent. */
export class ListenerCheck {
  constructor(private readonly options: Options) {}

  /** @param address IP:PORT */
  async check(address: string): Promise<ListenerState> {
    const connectTimeout = new ConnectTimeout();
    try {
      const socket = await openSocket({
        ...this.options,
        address,
        connectTimeout,
      });
      socket.on('error', () => undefined);
      socket.destroy();
      return ListenerState.LISTENING;
    } catch (error) {
      const isRefused =
        error instanceof ConnectFailure && error.reason === CONNECTION_REFUSED;
      return isRefused ? ListenerState.REFUSED : ListenerState.UNKNOWN;
    }
  }
}
