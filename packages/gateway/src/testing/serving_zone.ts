import {DurationEstimator} from '@bayspool/decisions/capacity';
import type {CallConfiguration} from '@bayspool/decisions/calls';
import {SeededRandom, sleep} from '@bayspool/kernel';
import type {Clock} from '@bayspool/kernel';
import type {DeclaredLimitExchange} from '../host/declared_limit_exchange.js';
import {DurationExchange} from '../host/duration_exchange.js';
import type {LeavingExchange} from '../host/leaving_exchange.js';
import {GatewayMetrics} from '../observability/gateway_metrics.js';
import {HostDirectory} from '../peers/host_directory.js';
import type {HostEntry} from '../peers/host_entry.js';
import {LoadDigestRegistry} from '../peers/load_digest_registry.js';
import type {PeerClient} from '../peers/peer_client.js';
import {PeerSynchronizer} from '../peers/peer_synchronizer.js';
import {ServingPeers} from '../peers/serving_peers.js';
import {SyncProtocol} from '../peers/sync_protocol.js';
import type {SyncRequest} from '../peers/sync_request.js';
import type {SyncResponse} from '../peers/sync_response.js';
import {StoreHealth} from '../records/store_health.js';
import {Topic} from '../records/topic.js';
import {TopicMirror} from '../records/topic_mirror.js';
import {createSilentLog} from './create_silent_log.js';
import {createSilentReporter} from './create_silent_reporter.js';

interface Options {
  readonly clock: Clock;
  readonly hostCount: number;
  /** Time that a message takes, in ms. */
  readonly transitMs?: number;
}

/** A host of the zone. */
interface ZoneHost {
  readonly entry: HostEntry;
  readonly peers: ServingPeers;
  readonly protocol: SyncProtocol;
  readonly directory: HostDirectory;
  readonly synchronizer: PeerSynchronizer;
  isServing: boolean;
  busyUntil: number;
}

const PLACE = 'a';
const TIMEOUT_MARGIN_MS = 450;

/** Hosts of one place that tell each other whether they take callers, over a network without losses. */
export class ServingZone {
  readonly hosts: readonly ZoneHost[];
  /** Time that a host takes for each message that it answers, one after the other, in ms. */
  answerMs = 0;

  constructor(private readonly options: Options) {
    const ranks = Array.from({length: options.hostCount}, (_, rank) => rank);
    this.hosts = ranks.map(rank => this.createHost(rank));
    for (const {directory} of this.hosts)
      for (const {entry} of this.hosts) directory.recordRequest(entry);
  }

  start(): void {
    for (const {synchronizer} of this.hosts) synchronizer.start();
  }

  stop(): void {
    for (const {synchronizer} of this.hosts) synchronizer.stop();
  }

  /** Number of hosts that know of another one that takes callers. */
  get informedCount(): number {
    return this.hosts.filter(({peers}) => peers.isAnyServing).length;
  }

  /** The host that the others ask. */
  get reader(): ZoneHost {
    const name = this.hosts[0].directory.findReader(PLACE)?.name;
    return this.hosts.find(({entry}) => entry.name === name)!;
  }

  private createHost(rank: number): ZoneHost {
    const {clock} = this.options;
    const log = createSilentLog();
    const mirror = new TopicMirror(Topic.OPERATOR);
    const entry: HostEntry = {
      name: `host-${rank}`,
      place: PLACE,
      address: String(rank),
      capacity: 1,
    };
    const directory = new HostDirectory({
      clock,
      log,
      mirror,
      refusedEntries: createSilentReporter(),
      self: entry,
    });
    const peers: ServingPeers = new ServingPeers({
      clock,
      place: PLACE,
      isServing: () => host.isServing,
    });
    const protocol = this.createProtocol(directory, peers, mirror);
    const client = {
      sync: (address: string, request: SyncRequest) =>
        this.deliver(host, this.hosts[Number(address)], request),
    } as unknown as PeerClient;
    const synchronizer = new PeerSynchronizer({
      clock,
      random: new SeededRandom(rank + 1),
      log,
      metrics: new GatewayMetrics(),
      hostDirectory: directory,
      client,
      protocol,
      servingPeers: peers,
      configurationBoundMs: 60_000,
      waitsForSeeds: false,
      freshnessMirror: mirror,
      waitUntilReader: () => new Promise(() => undefined),
      onSync: () => undefined,
      onReaderStart: () => undefined,
    });
    const host: ZoneHost = {
      entry,
      peers,
      protocol,
      directory,
      synchronizer,
      isServing: true,
      busyUntil: 0,
    };
    return host;
  }

  private createProtocol(
    hostDirectory: HostDirectory,
    servingPeers: ServingPeers,
    mirror: TopicMirror,
  ): SyncProtocol {
    const {clock} = this.options;
    const log = createSilentLog();
    const digest = {runners: {}, rollouts: {}};
    const limits = {
      isUrgentFor: () => false,
      applyPeerObservations: () => undefined,
      listObservations: () => [],
    };
    const leaving = {
      applyPeerLeaving: () => undefined,
      listLeavingIncarnations: () => [],
    };
    const current = {routes: []} as unknown as CallConfiguration;
    const durations = new DurationEstimator();
    return new SyncProtocol({
      clock,
      storeHealth: new StoreHealth({clock, log}),
      durations: new DurationExchange({
        clock,
        configuration: {current},
        durations,
      }),
      freshnessMirror: mirror,
      mirrors: [mirror],
      loadDigests: new LoadDigestRegistry({
        clock,
        place: PLACE,
        createOwnDigest: () => digest,
      }),
      limits: limits as unknown as DeclaredLimitExchange,
      leaving: leaving as unknown as LeavingExchange,
      hostDirectory,
      servingPeers,
    });
  }

  private async deliver(
    from: ZoneHost,
    to: ZoneHost,
    request: SyncRequest,
  ): Promise<SyncResponse> {
    const {clock, transitMs = 1} = this.options;
    const sentAt = clock.now();
    await sleep(clock, transitMs);
    const response = await to.protocol.answerRequest(request);
    to.busyUntil = Math.max(to.busyUntil, clock.now()) + this.answerMs;
    await sleep(clock, to.busyUntil - clock.now());
    await sleep(clock, transitMs);
    if (clock.now() - sentAt > request.waitMs + TIMEOUT_MARGIN_MS)
      throw new Error('no answer in time');
    return response;
  }
}
