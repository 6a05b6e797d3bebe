import type {Sealer} from '@bayspool/decisions';
import type {Metrics} from '@bayspool/kernel';
import type {Counter} from 'prom-client';
import type {PeerMessage} from './peer_message.js';
import type {PeerMethodRegistry} from './peer_method_registry.js';

interface Options {
  readonly sealer: Sealer;
  readonly methods: PeerMethodRegistry;
  readonly metrics: Metrics;
}

/** Verifies and answers peers' messages. A message that no peer signed is refused and counted. */
export class PeerMessageHandler {
  private readonly refusedTotal: Counter<'why'>;

  constructor(private readonly options: Options) {
    this.refusedTotal = options.metrics.counter(
      'peer_messages_refused_total',
      'Messages at the peer door that were refused.',
      ['why'],
    );
  }

  /** Returns the signed reply, or undefined for a message that no peer signed. */
  async handle(message: PeerMessage): Promise<PeerMessage | undefined> {
    const {sealer, methods} = this.options;
    if (!sealer.verify(message.body, message.signature)) {
      this.countRefused('forged');
      return undefined;
    }
    const body = JSON.stringify(
      (await methods.server.receiveJSON(message.body)) ?? null,
    );
    return {body, signature: sealer.sign(body)};
  }

  /** Counts a refused message. */
  countRefused(why: 'forged' | 'unreadable'): void {
    this.refusedTotal.inc({why});
  }
}
