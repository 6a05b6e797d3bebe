import {connect} from 'node:net';
import type {Socket} from 'node:net';
import type {Dialer} from './dialer.js';

/** Opens connections by TCP. */
export class TcpDialer implements Dialer {
  dial(address: string): Socket {
    const colon = address.lastIndexOf(':');
    const host = address.slice(0, colon);
    const port = Number(address.slice(colon + 1));
    return connect({host, port, noDelay: true});
  }
}
