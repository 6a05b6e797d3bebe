import type {RequestPacer} from '@bayspool/kernel';
import type {DurationEstimator} from '@bayspool/decisions/capacity';
import {LimitBroadcaster} from '../peers/limit_broadcaster.js';
import {LoadDigestRegistry} from '../peers/load_digest_registry.js';
import {PeerSynchronizer} from '../peers/peer_synchronizer.js';
import {PeerClient} from '../peers/peer_client.js';
import {PeerServer} from '../peers/peer_server.js';
import type {ServingPeers} from '../peers/serving_peers.js';
import {RoomBroadcaster} from '../peers/room_broadcaster.js';
import {SeedBootstrap} from '../peers/seed_bootstrap.js';
import {SyncProtocol} from '../peers/sync_protocol.js';
import {ReadGate} from '../records/read_gate.js';
import {TopicFollower} from '../records/topic_follower.js';
import {Topic} from '../records/topic.js';
import type {TopicMirror} from '../records/topic_mirror.js';
import type {LimitChange} from '../runners/limit_change.js';
import {DurationExchange} from './duration_exchange.js';
import type {GatewayOptions} from './gateway_options.js';
import type {HostState} from './host_state.js';

interface Options extends GatewayOptions {
  /** How long calls take to the end of their responses. */
  readonly durations: DurationEstimator;
  readonly servingPeers: ServingPeers;
  /** Bounds what connections make this host hold before their requests are handled. */
  readonly pacer: RequestPacer;
}

/** Long-poll timeout for the operator's topic, in ms: its mirror is this old at most in normal operation. */
const OPERATOR_LONG_POLL_MS = 1_000;
/** Long-poll timeout for the registry of hosts until it is known to be complete, in ms. */
const REGISTRY_LONG_POLL_MS = 1_000;
/** Long-poll timeout for topics whose age does not matter, in ms; a new record ends the wait immediately. */
const DEFAULT_LONG_POLL_MS = 10_000;

/** Keeps a host's state current: follows the store's topics and synchronizes with other hosts. */
export class StateSynchronizer {
  /** Decides which hosts read the store. */
  readonly peerSynchronizer: PeerSynchronizer;
  private readonly seedBootstrap: SeedBootstrap;
  private readonly loadDigests: LoadDigestRegistry;
  private readonly syncProtocol: SyncProtocol;
  private readonly peerClient: PeerClient;
  private readonly peerServer: PeerServer;
  private readonly readGate: ReadGate;
  private readonly limitBroadcaster: LimitBroadcaster;
  private readonly followers: readonly TopicFollower[];

  constructor(
    private readonly options: Options,
    private readonly state: HostState,
  ) {
    const {settings, clock, log} = options;
    const {runnerLoads} = state;
    this.loadDigests = new LoadDigestRegistry({
      clock,
      place: settings.place,
      createOwnDigest: () => runnerLoads.createDigest(),
    });
    this.syncProtocol = this.createSyncProtocol();
    this.peerClient = new PeerClient({clock});
    this.peerServer = new PeerServer({
      pacer: options.pacer,
      ip: settings.ip,
      port: settings.peerPort,
      protocol: this.syncProtocol,
      rooms: state.runnerRooms,
      log,
    });
    this.seedBootstrap = this.createSeedBootstrap();
    this.readGate = new ReadGate({
      clock,
      isOpen: () => this.peerSynchronizer.readsStore,
    });
    const {peerClient, syncProtocol} = this;
    const {hostDirectory} = state;
    this.limitBroadcaster = new LimitBroadcaster({
      clock: options.ageClock,
      hostDirectory,
      client: peerClient,
      protocol: syncProtocol,
    });
    const roomBroadcaster = new RoomBroadcaster({
      clock,
      hostDirectory,
      client: peerClient,
    });
    state.runnerRooms.onFound(observation => roomBroadcaster.send(observation));
    state.declaredLimits.onUrgentChange(change =>
      this.publishLimitChange(change),
    );
    this.peerSynchronizer = this.createPeerSynchronizer();
    this.followers = Object.values(state.mirrors).map(mirror =>
      this.createFollower(mirror),
    );
  }

  /** Starts to answer other hosts. */
  listen(): Promise<void> {
    return this.peerServer.start();
  }

  /** Starts to follow the store and the other hosts; resolves after the seed bootstrap. */
  async startFollowing(): Promise<void> {
    this.peerSynchronizer.start();
    await this.seedBootstrap.run();
    for (const follower of this.followers) follower.start();
  }

  /** Stops following the store and the other hosts. */
  stopFollowing(): void {
    this.peerSynchronizer.stop();
    this.seedBootstrap.stop();
    for (const follower of this.followers) follower.stop();
    this.readGate.stop();
  }

  /** Closes the connections to other hosts. */
  close(): void {
    this.peerServer.stop();
    this.peerClient.stop();
  }

  /** Applies the other hosts' load digests; called from the first response on, including that of a seed. */
  private applyPeerLoads(): void {
    this.state.runnerLoads.applyPeerDigest(this.loadDigests.sumOthers());
  }

  /** Publishes a changed limit, and broadcasts it unless a peer sent it: then it has reached the readers already. */
  private publishLimitChange({isFromPeer}: LimitChange): void {
    this.syncProtocol.publishLimits();
    if (!isFromPeer) this.limitBroadcaster.scheduleBroadcast();
  }

  private createSyncProtocol(): SyncProtocol {
    const {
      declaredLimits: limits,
      leavingRunners: leaving,
      mirrors,
      hostDirectory,
      storeHealth,
      configuration,
    } = this.state;
    const {ageClock: clock, durations, servingPeers} = this.options;
    return new SyncProtocol({
      storeHealth,
      clock,
      durations: new DurationExchange({clock, configuration, durations}),
      freshnessMirror: mirrors[Topic.OPERATOR],
      mirrors: Object.values(mirrors),
      loadDigests: this.loadDigests,
      limits,
      leaving,
      hostDirectory,
      servingPeers,
    });
  }

  private createSeedBootstrap(): SeedBootstrap {
    const {settings, ageClock, log} = this.options;
    const {mirrors, hostDirectory} = this.state;
    return new SeedBootstrap({
      clock: ageClock,
      log,
      client: this.peerClient,
      protocol: this.syncProtocol,
      mirrors: Object.values(mirrors),
      ownAddress: hostDirectory.self.address,
      seeds: settings.seeds,
      isFirstStart: settings.isFirstStart,
      onSync: () => this.applyPeerLoads(),
    });
  }

  private createPeerSynchronizer(): PeerSynchronizer {
    const {ageClock, random, log, settings, servingPeers} = this.options;
    const {mirrors, hostDirectory, metrics} = this.state;
    return new PeerSynchronizer({
      clock: ageClock,
      random,
      log,
      metrics,
      freshnessMirror: mirrors[Topic.OPERATOR],
      configurationBoundMs: settings.configurationBoundMs,
      waitsForSeeds: this.seedBootstrap.waitsForSeeds,
      hostDirectory,
      client: this.peerClient,
      protocol: this.syncProtocol,
      servingPeers,
      waitUntilReader: () => this.readGate.wait(),
      onSync: () => this.applyPeerLoads(),
      onReaderStart: reported => this.state.rollouts.mergeSchedules(reported),
    });
  }

  private createFollower(mirror: TopicMirror): TopicFollower {
    const {ageClock, random, store, log} = this.options;
    return new TopicFollower({
      clock: ageClock,
      random,
      store,
      mirror,
      log,
      health: this.state.storeHealth,
      longPollMs: () => this.getLongPollMs(mirror.topic),
      shouldRead: () => this.shouldRead(mirror),
      waitUntilReader: () => this.readGate.wait(),
    });
  }

  private shouldRead({isLoaded, topic}: TopicMirror): boolean {
    return !isLoaded || this.isReaderOf(topic);
  }

  /** A host with a stale mirror does not long-poll: an immediate response confirms that there is nothing new. */
  private getLongPollMs(topic: Topic): number {
    if (topic === Topic.HOSTS && !this.state.membership.isComplete)
      return REGISTRY_LONG_POLL_MS;
    if (topic !== Topic.OPERATOR) return DEFAULT_LONG_POLL_MS;
    return this.peerSynchronizer.isStale ? 0 : OPERATOR_LONG_POLL_MS;
  }

  private isReaderOf(topic: Topic): boolean {
    const {peerSynchronizer} = this;
    return topic === Topic.OPERATOR
      ? peerSynchronizer.readsStore
      : peerSynchronizer.readsAllTopics;
  }
}
