import type {Socket} from 'node:net';
import {afterReads} from '@bayspool/kernel';
import type {Clock} from '@bayspool/kernel';
import {ConnectFailure} from './connect_failure.js';
import type {ConnectTimeout} from './connect_timeout.js';
import type {Dialer} from './dialer.js';

interface Options {
  readonly clock: Clock;
  readonly dialer: Dialer;
  /** IP:PORT. */
  readonly address: string;
  readonly connectTimeout: ConnectTimeout;
}

/** Idle time after which the system sends TCP keep-alive probes, in ms. */
const KEEP_ALIVE_PROBE_DELAY_MS = 2_000;

/** Opens a connection; rejects with {@link ConnectFailure}. */
export function openSocket(options: Options): Promise<Socket> {
  const {clock, dialer, address, connectTimeout} = options;
  return new Promise((resolve, reject) => {
    const socket = dialer.dial(address);
    const {timeoutMs} = connectTimeout;
    const startedAt = clock.now();
    const timer = afterReads(clock, timeoutMs, () => {
      connectTimeout.noteTimeout();
      fail('timeout');
    });
    socket.once('connect', () => {
      timer.cancel();
      const tookMs = clock.now() - startedAt;
      // This process was late to read one that took longer, and does not know how long it took.
      if (tookMs <= timeoutMs) connectTimeout.noteConnected(tookMs);
      socket.off('error', onError);
      socket.setKeepAlive(true, KEEP_ALIVE_PROBE_DELAY_MS);
      resolve(socket);
    });
    socket.once('error', onError);
    function onError(error: NodeJS.ErrnoException): void {
      fail(error.code ?? 'error');
    }
    function fail(reason: string): void {
      timer.cancel();
      socket.on('error', () => undefined);
      socket.destroy();
      reject(new ConnectFailure(reason));
    }
  });
}
