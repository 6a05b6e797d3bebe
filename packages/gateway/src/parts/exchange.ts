import {LimitBroadcaster} from '../peers/limit_broadcaster.js';
import {LoadDigestRegistry} from '../peers/load_digest_registry.js';
import {PeerSynchronizer} from '../peers/peer_synchronizer.js';
import {PeerClient} from '../peers/peer_client.js';
import {PeerServer} from '../peers/peer_server.js';
import {SeedBootstrap} from '../peers/seed_bootstrap.js';
import {SyncProtocol} from '../peers/sync_protocol.js';
import {ReadGate} from '../records/read_gate.js';
import {TopicFollower} from '../records/topic_follower.js';
import {Topic} from '../records/topic.js';
import type {TopicMirror} from '../records/topic_mirror.js';
import type {LimitChange} from '../runners/limit_change.js';
import type {GatewayOptions} from './gateway_options.js';
import type {Knowledge} from './knowledge.js';

/** How long one read of the operator's topic waits, in ms: the age of what hosts know in calm times. */
const OPERATOR_WAIT_MS = 1_000;
/** The same for topics whose age does not matter; a record ends the wait at once. */
const OTHER_WAIT_MS = 10_000;
/** What keeps a host's knowledge current: the store's followers and the exchange with other hosts. */
export class Exchange {
  /** Decides which hosts read the store. */
  readonly news: PeerSynchronizer;
  private readonly seedStart: SeedBootstrap;
  private readonly board: LoadDigestRegistry;
  private readonly desk: SyncProtocol;
  private readonly client: PeerClient;
  private readonly server: PeerServer;
  private readonly gate: ReadGate;
  private readonly teller: LimitBroadcaster;
  private readonly followers: readonly TopicFollower[];

  constructor(
    private readonly options: GatewayOptions,
    private readonly knowledge: Knowledge,
  ) {
    const {settings, clock, log} = options;
    const {loads} = knowledge;
    this.board = new LoadDigestRegistry({
      clock,
      place: settings.place,
      createOwnDigest: () => loads.ownDigest(),
    });
    this.desk = this.createDesk();
    this.client = new PeerClient({clock});
    this.server = new PeerServer({
      ip: settings.ip,
      port: settings.peerPort,
      protocol: this.desk,
      log,
    });
    this.seedStart = this.createSeedStart();
    this.gate = new ReadGate({clock, isOpen: () => this.news.readsStore});
    const {client, desk} = this;
    const {roster} = knowledge;
    this.teller = new LimitBroadcaster({
      clock: options.ageClock,
      hostDirectory: roster,
      client,
      protocol: desk,
    });
    knowledge.hostLimits.onUrgent(change => this.spreadLimit(change));
    this.news = this.createNews();
    this.followers = Object.values(knowledge.mirrors).map(mirror =>
      this.createFollower(mirror),
    );
  }

  /** Answers other hosts from now on. */
  listen(): Promise<void> {
    return this.server.start();
  }

  /** Follows the store and the other hosts from now on; resolves when the seeds have been asked. */
  async follow(): Promise<void> {
    this.news.start();
    await this.seedStart.run();
    for (const follower of this.followers) follower.start();
  }

  /** Stops following. */
  unfollow(): void {
    this.news.stop();
    this.seedStart.stop();
    for (const follower of this.followers) follower.stop();
    this.gate.stop();
  }

  /** Closes what leads to other hosts. */
  close(): void {
    this.server.stop();
    this.client.stop();
  }

  /** Loads, and what is told of roll-outs, count from the first answer on, also from a seed's. */
  private takeNews(): void {
    this.knowledge.loads.takeRemote(this.board.sumOthers());
  }

  /** What another host told has reached the readers already. */
  private spreadLimit({isFromPeer: isTold}: LimitChange): void {
    this.desk.publishLimits();
    if (!isTold) this.teller.scheduleBroadcast();
  }

  private createDesk(): SyncProtocol {
    const {hostLimits: limits, mirrors, roster, storeHealth} = this.knowledge;
    return new SyncProtocol({
      storeHealth: storeHealth,
      clock: this.options.ageClock,
      freshnessMirror: mirrors[Topic.OPERATOR],
      mirrors: Object.values(mirrors),
      loadDigests: this.board,
      limits,
      hostDirectory: roster,
    });
  }

  private createSeedStart(): SeedBootstrap {
    const {settings, ageClock, log} = this.options;
    const {mirrors, roster} = this.knowledge;
    return new SeedBootstrap({
      clock: ageClock,
      log,
      client: this.client,
      protocol: this.desk,
      mirrors: Object.values(mirrors),
      ownAddress: roster.self.address,
      seeds: settings.seeds,
      isFirstStart: settings.isFirstStart,
      onSync: () => this.takeNews(),
    });
  }

  private createNews(): PeerSynchronizer {
    const {ageClock, random, log, settings} = this.options;
    const {mirrors, roster, metrics} = this.knowledge;
    return new PeerSynchronizer({
      clock: ageClock,
      random,
      log,
      metrics,
      freshnessMirror: mirrors[Topic.OPERATOR],
      configurationBoundMs: settings.configurationBoundMs,
      waitsForSeeds: this.seedStart.waitsForSeeds,
      hostDirectory: roster,
      client: this.client,
      protocol: this.desk,
      waitUntilReader: () => this.gate.wait(),
      onSync: () => this.takeNews(),
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
      health: this.knowledge.storeHealth,
      waitMs: () => this.waitOf(mirror.topic),
      isWanted: () => this.isWanted(mirror),
      waitWanted: () => this.gate.wait(),
    });
  }

  private isWanted({isLoaded, topic}: TopicMirror): boolean {
    return !isLoaded || this.reads(topic);
  }

  /** A host that knows nothing current does not wait: an answer tells at once that nothing is new. */
  private waitOf(topic: Topic): number {
    if (topic !== Topic.OPERATOR) return OTHER_WAIT_MS;
    return this.news.isStale ? 0 : OPERATOR_WAIT_MS;
  }

  private reads(topic: Topic): boolean {
    const {news} = this;
    return topic === Topic.OPERATOR ? news.readsStore : news.readsAllTopics;
  }
}
