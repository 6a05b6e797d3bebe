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
  /** Peer addresses to begin with, of any place. */
  readonly seeds: readonly string[];
  /** Between two rounds inside the place, in ms. */
  readonly intervalMs: number;
  /** Hosts of the place called in a round. */
  readonly fanout: number;
  /** Between two rounds of a relay with other places, in ms. */
  readonly relayIntervalMs: number;
}

const EXCHANGE_METHOD = 'gossip.exchange';
const RELAY_FANOUT = 2;
/** Rounds of relays after which a place's age is passed on although nothing else changed. */
const AGE_REPORT_ROUNDS = 4;

/**
 * Heartbeats. Inside the place each host calls the others in turn, in an order
 * shuffled each time round, so none stays unheard for longer than a round. The
 * relays of a place exchange digests with other places. Answers carry the same as
 * calls, so each call informs both sides.
 */
export class Gossip implements Service {
  readonly name = 'gossip';
  private readonly stopping = new AbortController();
  private readonly loops: Promise<void>[] = [];
  private readonly deltaTracker: DigestDeltaTracker;
  /** Places of which this host was sent a part by name only that it does not have. */
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

  /** Tells others at once: something changed that cannot wait for the next round. */
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
    const missing =
      targets.length === 0 ? this.sample(this.options.seeds, 1) : [];
    await Promise.all([
      ...targets.map((target: HostSummary) =>
        this.exchange(target.address, target.id),
      ),
      ...missing.map(address => this.exchange(address, address)),
    ]);
  }

  private pickTargets(): HostState[] {
    const {membership, identity, fanout} = this.options;
    const others = membership
      .listKnown()
      .filter(entry => entry.id !== identity.id);
    const targets: HostState[] = [];
    while (targets.length < Math.min(fanout, others.length)) {
      if (this.callQueue.length === 0)
        this.callQueue = this.sample(
          others.map(entry => entry.id),
          others.length,
        );
      const id = this.callQueue.pop();
      const target = others.find(entry => entry.id === id);
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
    const {
      membership,
      freshness,
      identity,
      localHostState: ownState,
    } = this.options;
    if (message.from.id === identity.id) return;
    membership.mergeState(message.from, true);
    for (const entry of message.others) {
      if (entry.id === identity.id)
        ownState.raiseIncarnationAbove(
          entry.incarnation - (entry.boot === identity.boot ? 1 : 0),
        );
      else membership.mergeState(entry, false);
    }
    this.mergeDeltas(message);
    const isBehind = ownState.createState().offset < message.from.offset;
    if (message.freshnessMs !== undefined && !isBehind)
      freshness.recordPeerAge(message.freshnessMs, sentAt);
  }

  private mergeDeltas({from, news, lacking, isNew}: GossipMessage): void {
    if (isNew) this.deltaTracker.forgetPeer(from.id);
    lacking.forEach(place => this.deltaTracker.forgetPlace(from.id, place));
    for (const item of news) {
      this.deltaTracker.recordReceived(from.id, item);
      if (this.options.membership.mergeDelta(item))
        this.incompletePlaces.delete(item.place);
      else this.incompletePlaces.add(item.place);
    }
  }

  private createMessage(
    receiver: string,
    receiverIsNew = false,
  ): GossipMessage {
    const {membership, freshness, localHostState: ownState} = this.options;
    const age = freshness.computeAgeMs();
    return {
      from: ownState.createState(),
      others: receiverIsNew ? membership.listAlive() : [],
      news: this.createDeltas(receiver),
      lacking: [...this.incompletePlaces],
      ...(Number.isFinite(age) ? {freshnessMs: age} : {}),
      isNew: membership.listAlive().length <= 1,
    };
  }

  private createDeltas(receiver: string): PlaceDigestDelta[] {
    const {membership, identity} = this.options;
    const isInside = membership.get(receiver) !== undefined;
    const digests = isInside
      ? membership.listDigests()
      : [membership.createOwnDigest(), ...membership.listDigests()];
    const receiverPlace = isInside
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
    const rest = [...items];
    const drawn: T[] = [];
    while (drawn.length < count && rest.length > 0) {
      drawn.push(...rest.splice(this.options.random.below(rest.length), 1));
    }
    return drawn;
  }
}
