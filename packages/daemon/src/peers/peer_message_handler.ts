import type {Sealer} from '@bayspool/decisions';
import type {Metrics} from '@bayspool/kernel';
import type {Counter} from 'prom-client';
import type {PeerMessage} from './peer_message.js';
import type {PeerMethodRegistry} from './peer_method_registry.js';

interface Options {
  readonly seal: Sealer;
  readonly methods: PeerMethodRegistry;
  readonly metrics: Metrics;
}

/** Answers peers' messages. One that no peer signed is refused and counted. */
export class PeerMessageHandler {
  private readonly refusedTotal: Counter<'why'>;

  constructor(private readonly options: Options) {
    this.refusedTotal = options.metrics.counter(
      'peer_messages_refused_total',
      'Messages at the peer door that were refused.',
      ['why'],
    );
  }

  /** Gives the signed answer, or nothing for a message that is not a peer's. */
  async handle(message: PeerMessage): Promise<PeerMessage | undefined> {
    const {seal, methods} = this.options;
    if (!seal.verify(message.body, message.signature)) {
      this.countRefused('forged');
      return undefined;
    }
    const body = JSON.stringify(
      (await methods.server.receiveJSON(message.body)) ?? null,
    );
    return {body, signature: seal.sign(body)};
  }

  /** Counts a message that could not be taken. */
  countRefused(why: 'forged' | 'unreadable'): void {
    this.refusedTotal.inc({why});
  }
}
