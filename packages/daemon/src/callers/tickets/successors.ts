import type {IdempotencyCache, Membership} from '@bayspool/decisions';
import type {Logger} from '@bayspool/kernel';
import {z} from 'zod';
import type {HostIdentity} from '../../host/host_identity.js';
import type {PeerClient} from '../../peers/peer_client.js';
import type {PeerMethodRegistry} from '../../peers/peer_method_registry.js';
import {StoredAnswer} from '../stored_answer.js';
import {answerMethods} from './answer_methods.js';

interface Options {
  readonly logger: Logger;
  readonly identity: HostIdentity;
  readonly membership: Membership;
  readonly client: PeerClient;
  readonly methods: PeerMethodRegistry;
  readonly memory: IdempotencyCache<StoredAnswer>;
}

const usedKey = z.strictObject({
  key: z.string(),
  fingerprint: z.string(),
  answer: StoredAnswer.optional(),
});
type UsedKey = z.output<typeof usedKey>;

const HAND_OVER_TIMEOUT_MS = 10_000;

/** Which process speaks for the keys of one that left in good order. */
export class Successors {
  private readonly adopted = new Set<string>();
  private readonly found = new Map<string, string>();

  constructor(private readonly options: Options) {
    this.addMethods();
  }

  /** Whether this process took over the keys of `boot`. */
  hasAdopted(boot: string): boolean {
    return this.adopted.has(boot);
  }

  /** The successor's address if it was found before. */
  known(boot: string): string | undefined {
    return this.found.get(boot);
  }

  /** Asks the hosts of a place which of them took over the keys of `boot`. */
  async find(boot: string, place: string): Promise<string | undefined> {
    const {identity, membership, client} = this.options;
    if (this.adopted.has(boot)) return identity.peerAddress;
    const addresses =
      place === identity.place
        ? membership.listAvailablePeers().map(entry => entry.address)
        : (
            membership.listDigests().find(digest => digest.place === place)
              ?.hosts ?? []
          ).map(host => host.address);
    const replies = await Promise.all(
      addresses.map(address =>
        client.call(address, answerMethods.adopted, {boot}).catch(() => false),
      ),
    );
    const index = replies.findIndex(reply => reply === true);
    if (index === -1) return undefined;
    this.found.set(boot, addresses[index]);
    return addresses[index];
  }

  /**
   * Makes one companion the successor of this process, which dispatches nothing any
   * more. Only one is ever asked: when its reply is lost, it may still have agreed.
   */
  async handOver(used: readonly UsedKey[]): Promise<void> {
    const {identity, membership, client, logger} = this.options;
    const [companion] = membership.listAvailablePeers();
    if (!companion) return;
    const params = {
      from: [identity.boot, ...this.adopted],
      to: companion.id,
      used: [...used],
    };
    try {
      await client.call(companion.address, answerMethods.adopt, params, {
        timeoutMs: HAND_OVER_TIMEOUT_MS,
      });
      logger.info('keys handed over', {host: companion.id, keys: used.length});
    } catch (error) {
      logger.warn('keys not known to be handed over', {
        host: companion.id,
        error: String(error),
      });
    }
  }

  private addMethods(): void {
    const {methods, identity, memory} = this.options;
    const adoptParams = z.strictObject({
      from: z.array(z.string()),
      to: z.string(),
      used: z.array(usedKey),
    });
    methods.register(answerMethods.adopt, adoptParams, ({from, to, used}) => {
      if (to !== identity.id) return false;
      for (const {key, fingerprint, answer} of used)
        memory.adoptAnswer(key, fingerprint, answer);
      from.forEach(boot => this.adopted.add(boot));
      return true;
    });
    methods.register(
      answerMethods.adopted,
      z.strictObject({boot: z.string()}),
      ({boot}) => this.adopted.has(boot),
    );
  }
}
