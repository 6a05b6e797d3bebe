import type {PeerPool} from './peer_pool.js';
import type {PeerMessage} from './peer_message.js';

interface SendOptions {
  readonly headers: Readonly<Record<string, string>>;
  readonly timeoutMs: number;
  readonly pool: PeerPool;
}

/** Sends messages between hosts. */
export interface PeerTransport {
  /** Resolves to the reply. After a rejection the message may still have arrived. */
  send(
    address: string,
    message: PeerMessage,
    options: SendOptions,
  ): Promise<PeerMessage>;
}
