import {
  computeStateDigest,
  type Configuration,
  type LogFreshness,
  type Membership,
} from '@bayspool/decisions';
import {
  jitter,
  sleep,
  type Clock,
  type Logger,
  type RandomSource,
  type Service,
} from '@bayspool/kernel';
import {z} from 'zod';
import type {ConfigurationStore} from '../configuration/configuration_store.js';
import {ConfigurationReply} from './configuration_reply.js';
import type {PeerClient} from './peer_client.js';
import type {PeerMethodRegistry} from './peer_method_registry.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly store: ConfigurationStore;
  readonly freshness: LogFreshness;
  readonly membership: Membership;
  readonly client: PeerClient;
  readonly methods: PeerMethodRegistry;
  readonly seeds: readonly string[];
  /** Applies a peer's state; false when it was not newer or did not fit. */
  readonly applyState: (state: Configuration) => boolean;
  /** Called after a peer's state was applied. */
  readonly onApplied: () => void;
  /** How often the peers' offsets are compared with this host's, in ms. */
  readonly intervalMs: number;
}

const FETCH_METHOD = 'configuration.fetch';

/** Fetches the configuration from a peer with a higher offset when the log does not deliver it. */
export class ConfigurationFetcher implements Service {
  readonly name = 'catch up';
  private readonly stopping = new AbortController();
  private behindSince: number | undefined;
  private loop: Promise<void> = Promise.resolve();

  constructor(private readonly options: Options) {
    const {methods, store, freshness} = options;
    methods.register(
      FETCH_METHOD,
      z.strictObject({after: z.int()}),
      ({after}): ConfigurationReply => {
        const age = freshness.computeAgeMs();
        const freshnessMs = Number.isFinite(age) ? age : undefined;
        if (store.current.offset <= after) return {freshnessMs};
        const state = store.current;
        return {state, digest: computeStateDigest(state), freshnessMs};
      },
    );
  }

  async start(): Promise<void> {
    this.loop = this.run();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.loop;
  }

  /** Fetches the configuration once from a random peer of this place. */
  async fetchFromRandomPeer(): Promise<void> {
    const {membership, random} = this.options;
    const peers = membership.listAvailablePeers();
    if (peers.length > 0)
      await this.fetch(peers[random.below(peers.length)].address);
  }

  private async run(): Promise<void> {
    const {clock, random, intervalMs} = this.options;
    while (!this.stopping.signal.aborted) {
      await sleep(clock, jitter(random, intervalMs), this.stopping.signal);
      if (!this.stopping.signal.aborted) await this.fetchIfBehind();
    }
  }

  private async fetchIfBehind(): Promise<void> {
    const {clock, store, random} = this.options;
    const ahead = this.listAddressesAhead();
    if (ahead.length === 0) {
      this.behindSince = undefined;
      return;
    }
    this.behindSince ??= clock.now();
    const graceMs = store.isReady ? this.options.intervalMs : 0;
    if (clock.now() - this.behindSince < graceMs) return;
    await this.fetch(ahead[random.below(ahead.length)]);
  }

  private listAddressesAhead(): string[] {
    const {store, membership, seeds} = this.options;
    const ahead = membership.listAddressesAhead(store.current.offset);
    if (ahead.length > 0) return ahead;
    return store.isReady ? [] : [...seeds];
  }

  private async fetch(address: string): Promise<void> {
    const {client, store, logger, clock} = this.options;
    const sentAt = clock.now();
    const after = store.current.offset;
    try {
      const reply = ConfigurationReply.parse(
        await client.call(address, FETCH_METHOD, {after}),
      );
      if (reply.state) this.applyPeerState(reply.state, reply.digest, address);
      const hasCaughtUp = reply.state
        ? store.current.offset >= reply.state.offset
        : true;
      if (reply.freshnessMs !== undefined && hasCaughtUp)
        this.options.freshness.recordPeerAge(reply.freshnessMs, sentAt);
    } catch (error) {
      logger.debug('configuration not fetched', {
        address,
        error: String(error),
      });
    }
  }

  private applyPeerState(
    state: Configuration,
    digest: string | undefined,
    address: string,
  ): void {
    if (computeStateDigest(state) !== digest || !this.options.applyState(state))
      return;
    this.options.onApplied();
    this.options.logger.info('configuration taken from a peer', {
      address,
      offset: state.offset,
    });
  }
}
