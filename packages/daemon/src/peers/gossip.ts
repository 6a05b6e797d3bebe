import {
  DigestDeltaTracker,
  type LogFreshness,
  type HostState,
  type HostSummary,
  type Membership,
  type PlaceDigestDelta,
} from '@bayspool/decisions';
import {
  jitter,
  sleep,
  type Clock,
  type Logger,
  type Metrics,
  type RandomSource,
  type Service,
} from '@bayspool/kernel';
import type {HostIdentity} from '../host/host_identity.js';
import {GossipMessage} from './gossip_message.js';
import type {LocalHostState} from './local_host_state.js';
import type {PeerClient} from './peer_client.js';
import type {PeerMethodRegistry} from './peer_method_registry.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly identity: HostIdentity;
  readonly localHostState: LocalHostState;
  readonly membership: Membership;
  readonly freshness: LogFreshness;
  readonly client: PeerClient;
  readonly methods: PeerMethodRegistry;
  /** Addresses of initial peers, in any place. */
  readonly seeds: readonly string[];
  /** Interval of rounds within the place, in ms. */
  readonly intervalMs: number;
  /** Hosts of the place that are called in a round. */
  readonly fanout: number;
  /** Interval of rounds in which a relay calls other places, in ms. */
  readonly relayIntervalMs: number;
}

const EXCHANGE_METHOD = 'gossip.exchange';
const RELAY_FANOUT = 2;
/** Relay rounds after which a place's age is sent although nothing else changed. */
const AGE_REPORT_ROUNDS = 4;

/**
 * Exchanges heartbeats. Within the place each host calls all others in turn and
 * reshuffles the order after each cycle, so no host goes unheard for longer than
 * a cycle. The relays of a place exchange digests with other places. A reply
 * carries the same content as a call, so each call updates both sides.
 */
export class Gossip implements Service {
  readonly name = 'gossip';
  private readonly stopping = new AbortController();
  private readonly loops: Promise<void>[] = [];
  private readonly deltaTracker: DigestDeltaTracker;
  /** Places with a digest part that a peer referred to by its hash and that this host lacks. */
  private readonly incompletePlaces = new Set<string>();
  private callQueue: string[] = [];

  constructor(private readonly options: Options) {
    options.methods.register(EXCHANGE_METHOD, GossipMessage, message =>
      this.receive(message),
    );
    const {membership, clock} = options;
    this.deltaTracker = new DigestDeltaTracker({
      clock,
      minIntervalMs: options.relayIntervalMs / 2,
      ageOnlyIntervalMs: options.relayIntervalMs * AGE_REPORT_ROUNDS,
    });
    options.metrics.observe(
      'members_living',
      'Hosts of this place taken to be alive.',
      () => membership.listAlive().length,
    );
    options.metrics.observe(
      'places_heard',
      'Other places with a fresh digest.',
      () => membership.listDigests().length,
    );
  }

  async start(): Promise<void> {
    this.updateOwnState();
    await this.exchangeWithSeeds();
    this.loops.push(
      this.runEvery(this.options.intervalMs, () => this.exchangeWithinPlace()),
    );
    this.loops.push(
      this.runEvery(this.options.relayIntervalMs, () =>
        this.exchangeAcrossPlaces(),
      ),
    );
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await Promise.all(this.loops);
    await this.exchangeWithinPlace();
  }

  /** Runs a round at once, for changes that cannot wait for the next one. */
  async runNow(): Promise<void> {
    await Promise.all([
      this.exchangeWithinPlace(),
      this.exchangeAcrossPlaces(),
    ]);
  }

  private async runEvery(
    intervalMs: number,
    round: () => Promise<void>,
  ): Promise<void> {
    const {clock, random} = this.options;
    while (!this.stopping.signal.aborted) {
      await sleep(clock, jitter(random, intervalMs), this.stopping.signal);
      if (!this.stopping.signal.aborted) await round();
    }
  }

  private async exchangeWithinPlace(): Promise<void> {
    this.updateOwnState();
    const targets = this.pickTargets();
    if (targets.length === 0) await this.exchangeWithSeeds();
    await Promise.all(
      targets.map(target => this.exchange(target.address, target.id)),
    );
  }

  private async exchangeAcrossPlaces(): Promise<void> {
    const {membership} = this.options;
    if (!membership.isRelay()) return;
    const places = this.sample(membership.listOtherPlaces(), RELAY_FANOUT);
    const targets = places.flatMap(place =>
      this.sample(membership.listRelays(place), 1),
    );
    const fallbackSeeds =
      targets.length === 0 ? this.sample(this.options.seeds, 1) : [];
    await Promise.all([
      ...targets.map((target: HostSummary) =>
        this.exchange(target.address, target.id),
      ),
      ...fallbackSeeds.map(address => this.exchange(address, address)),
    ]);
  }

  private pickTargets(): HostState[] {
    const {membership, identity, fanout} = this.options;
    const others = membership
      .listKnown()
      .filter(state => state.id !== identity.id);
    const targets: HostState[] = [];
    while (targets.length < Math.min(fanout, others.length)) {
      if (this.callQueue.length === 0)
        this.callQueue = this.sample(
          others.map(state => state.id),
          others.length,
        );
      const id = this.callQueue.pop();
      const target = others.find(state => state.id === id);
      if (target && !targets.includes(target)) targets.push(target);
    }
    return targets;
  }

  private async exchangeWithSeeds(): Promise<void> {
    const seeds = this.options.seeds.filter(
      address => address !== this.options.identity.peerAddress,
    );
    await Promise.all(
      this.sample(seeds, seeds.length).map(address =>
        this.exchange(address, address),
      ),
    );
  }

  private async exchange(address: string, receiver: string): Promise<void> {
    const {client, clock, logger} = this.options;
    const sentAt = clock.now();
    try {
      const reply = GossipMessage.parse(
        await client.call(
          address,
          EXCHANGE_METHOD,
          this.createMessage(receiver),
        ),
      );
      this.merge(reply, sentAt);
    } catch (error) {
      this.deltaTracker.forgetPeer(receiver);
      logger.debug('peer not reached', {address, error: String(error)});
    }
  }

  private receive(message: GossipMessage): GossipMessage {
    this.updateOwnState();
    this.merge(message, this.options.clock.now());
    return this.createMessage(message.from.id, message.isNew);
  }

  private merge(message: GossipMessage, sentAt: number): void {
    const {membership, freshness, identity, localHostState} = this.options;
    if (message.from.id === identity.id) return;
    membership.mergeState(message.from, true);
    for (const state of message.others) {
      if (state.id === identity.id)
        localHostState.raiseIncarnationAbove(
          state.incarnation - (state.boot === identity.boot ? 1 : 0),
        );
      else membership.mergeState(state, false);
    }
    this.mergeDeltas(message);
    const isBehind = localHostState.createState().offset < message.from.offset;
    if (message.freshnessMs !== undefined && !isBehind)
      freshness.recordPeerAge(message.freshnessMs, sentAt);
  }

  private mergeDeltas({from, news, lacking, isNew}: GossipMessage): void {
    if (isNew) this.deltaTracker.forgetPeer(from.id);
    lacking.forEach(place => this.deltaTracker.forgetPlace(from.id, place));
    for (const delta of news) {
      this.deltaTracker.recordReceived(from.id, delta);
      if (this.options.membership.mergeDelta(delta))
        this.incompletePlaces.delete(delta.place);
      else this.incompletePlaces.add(delta.place);
    }
  }

  private createMessage(
    receiver: string,
    receiverIsNew = false,
  ): GossipMessage {
    const {membership, freshness, localHostState} = this.options;
    const age = freshness.computeAgeMs();
    return {
      from: localHostState.createState(),
      others: receiverIsNew ? membership.listAlive() : [],
      news: this.createDeltas(receiver),
      lacking: [...this.incompletePlaces],
      ...(Number.isFinite(age) ? {freshnessMs: age} : {}),
      isNew: membership.listAlive().length <= 1,
    };
  }

  private createDeltas(receiver: string): PlaceDigestDelta[] {
    const {membership, identity} = this.options;
    const isSamePlace = membership.get(receiver) !== undefined;
    const digests = isSamePlace
      ? membership.listDigests()
      : [membership.createOwnDigest(), ...membership.listDigests()];
    const receiverPlace = isSamePlace
      ? identity.place
      : membership.findPlace(receiver);
    return this.deltaTracker.createDeltas(receiver, receiverPlace, digests);
  }

  private updateOwnState(): void {
    this.options.membership.mergeState(
      this.options.localHostState.createState(),
      true,
    );
  }

  private sample<T>(items: readonly T[], count: number): T[] {
    const remaining = [...items];
    const sampled: T[] = [];
    while (sampled.length < count && remaining.length > 0) {
      sampled.push(
        ...remaining.splice(this.options.random.below(remaining.length), 1),
      );
    }
    return sampled;
  }
}
