import type {IdempotencyCache, Membership} from '@bayspool/decisions';
import type {Logger} from '@bayspool/kernel';
import {z} from 'zod';
import type {HostIdentity} from '../../host/host_identity.js';
import type {PeerClient} from '../../peers/peer_client.js';
import type {PeerMethodRegistry} from '../../peers/peer_method_registry.js';
import {StoredResponse} from '../stored_response.js';
import {keyedCallMethods} from './keyed_call_methods.js';

interface Options {
  readonly logger: Logger;
  readonly identity: HostIdentity;
  readonly membership: Membership;
  readonly client: PeerClient;
  readonly methods: PeerMethodRegistry;
  readonly cache: IdempotencyCache<StoredResponse>;
}

const usedKeySchema = z.strictObject({
  key: z.string(),
  fingerprint: z.string(),
  answer: StoredResponse.optional(),
});
type UsedKey = z.output<typeof usedKeySchema>;

const HAND_OFF_TIMEOUT_MS = 10_000;

/** Records which process took over the keys of a process that shut down in an orderly way. */
export class SuccessorRegistry {
  private readonly adoptedBoots = new Set<string>();
  private readonly addressByBoot = new Map<string, string>();

  constructor(private readonly options: Options) {
    this.registerMethods();
  }

  /** Whether this process has taken over the keys of `boot`. */
  hasAdopted(boot: string): boolean {
    return this.adoptedBoots.has(boot);
  }

  /** Returns the address of the successor of `boot` if it was found before. */
  getKnownAddress(boot: string): string | undefined {
    return this.addressByBoot.get(boot);
  }

  /** Asks the hosts of a place which of them has taken over the keys of `boot`. */
  async findAddress(boot: string, place: string): Promise<string | undefined> {
    const {identity, membership, client} = this.options;
    if (this.adoptedBoots.has(boot)) return identity.peerAddress;
    const addresses =
      place === identity.place
        ? membership.listAvailablePeers().map(entry => entry.address)
        : (
            membership.listDigests().find(digest => digest.place === place)
              ?.hosts ?? []
          ).map(host => host.address);
    const replies = await Promise.all(
      addresses.map(address =>
        client
          .call(address, keyedCallMethods.adopted, {boot})
          .catch(() => false),
      ),
    );
    const index = replies.findIndex(reply => reply === true);
    if (index === -1) return undefined;
    this.addressByBoot.set(boot, addresses[index]);
    return addresses[index];
  }

  /**
   * Makes one peer the successor of this process, which no longer dispatches calls.
   * Only one peer is ever asked, as it may have accepted even when its reply is lost.
   */
  async handOff(used: readonly UsedKey[]): Promise<void> {
    const {identity, membership, client, logger} = this.options;
    const [peer] = membership.listAvailablePeers();
    if (!peer) return;
    const params = {
      from: [identity.boot, ...this.adoptedBoots],
      to: peer.id,
      used: [...used],
    };
    try {
      await client.call(peer.address, keyedCallMethods.adopt, params, {
        timeoutMs: HAND_OFF_TIMEOUT_MS,
      });
      logger.info('keys handed over', {host: peer.id, keys: used.length});
    } catch (error) {
      logger.warn('keys not known to be handed over', {
        host: peer.id,
        error: String(error),
      });
    }
  }

  private registerMethods(): void {
    const {methods, identity, cache} = this.options;
    const adoptParams = z.strictObject({
      from: z.array(z.string()),
      to: z.string(),
      used: z.array(usedKeySchema),
    });
    methods.register(
      keyedCallMethods.adopt,
      adoptParams,
      ({from, to, used}) => {
        if (to !== identity.id) return false;
        for (const {key, fingerprint, answer} of used)
          cache.adoptAnswer(key, fingerprint, answer);
        from.forEach(boot => this.adoptedBoots.add(boot));
        return true;
      },
    );
    methods.register(
      keyedCallMethods.adopted,
      z.strictObject({boot: z.string()}),
      ({boot}) => this.adoptedBoots.has(boot),
    );
  }
}
