import type {
  Log,
  Membership,
  ServiceRunner,
  RatingService,
  Roster,
  Runner,
  WeightStore,
} from '@bayspool/decisions';
import {token} from '@bayspool/kernel';
import type {RequestPacer} from '@bayspool/kernel';
import type {AdmissionController} from './callers/admission_controller.js';
import type {IntentPlanner} from './operators/intent_planner.js';
import type {BillRecorder} from './billing/bill_recorder.js';
import type {ConfigurationStore} from './configuration/configuration_store.js';
import type {StalenessGuard} from './configuration/staleness_guard.js';
import type {IntentSubmitter} from './configuration/intent_submitter.js';
import type {HostIdentity} from './host/host_identity.js';
import type {ClusterSealers} from './host/cluster_sealers.js';
import type {LeavingState} from './leaving/leaving_state.js';
import type {WorkspaceRateLimiter} from './limits/workspace_rate_limiter.js';
import type {Gossip} from './peers/gossip.js';
import type {LocalHostState} from './peers/local_host_state.js';
import type {PeerClient} from './peers/peer_client.js';
import type {PeerMessageHandler} from './peers/peer_message_handler.js';
import type {PeerTransport} from './peers/peer_transport.js';
import type {PeerMethodRegistry} from './peers/peer_method_registry.js';
import type {VersionRatingTracker} from './ratings/version_rating_tracker.js';
import type {RatingCollector} from './ratings/rating_collector.js';
import type {RunnerPool} from './runners/runner_pool.js';
import type {ServiceRunnerPool} from './runners/service_runner_pool.js';
import type {LogFreshness} from '@bayspool/decisions';

/** Injection tokens of what the daemon's plugins provide to each other. */
export const daemonTokens = {
  hostIdentity: token<HostIdentity>('HostIdentity'),
  /** Bounds what connections to all servers make this process hold. */
  requestPacer: token<RequestPacer>('request pacer'),
  sealers: token<ClusterSealers>('ClusterSealers'),
  log: token<Log>('Log'),
  ratingService: token<RatingService>('RatingService'),
  roster: token<Roster>('Roster'),
  weights: token<WeightStore>('WeightStore'),
  runner: token<Runner>('Runner'),
  serviceRunner: token<ServiceRunner>('ServiceRunner'),
  configurationStore: token<ConfigurationStore>('ConfigurationStore'),
  intentSubmitter: token<IntentSubmitter>('IntentSubmitter'),
  freshness: token<LogFreshness>('LogFreshness'),
  stalenessGuard: token<StalenessGuard>('StalenessGuard'),
  membership: token<Membership>('Membership'),
  gossip: token<Gossip>('Gossip'),
  localHostState: token<LocalHostState>('LocalHostState'),
  peerClient: token<PeerClient>('PeerClient'),
  peerMessageHandler: token<PeerMessageHandler>('PeerMessageHandler'),
  /** Bound ahead of the peers plugin to replace HTTP between hosts. */
  peerTransport: token<PeerTransport>('PeerTransport'),
  admissionController: token<AdmissionController>('AdmissionController'),
  intentPlanner: token<IntentPlanner>('IntentPlanner'),
  peerMethods: token<PeerMethodRegistry>('PeerMethodRegistry'),
  runnerPool: token<RunnerPool>('RunnerPool'),
  serviceRunnerPool: token<ServiceRunnerPool>('ServiceRunnerPool'),
  billRecorder: token<BillRecorder>('BillRecorder'),
  ratingCollector: token<RatingCollector>('RatingCollector'),
  ratingTracker: token<VersionRatingTracker>('VersionRatingTracker'),
  workspaceRateLimiter: token<WorkspaceRateLimiter>('WorkspaceRateLimiter'),
  leavingState: token<LeavingState>('LeavingState'),
};
