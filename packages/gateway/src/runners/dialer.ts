import type {Socket} from 'node:net';

/** Opens the connections of this host to runners. */
export interface Dialer {
  /**
   * Starts to connect; the socket emits `connect` or `error`.
   *
   * @param address IP:PORT
   */
  dial(address: string): Socket;
}
