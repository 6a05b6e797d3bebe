import type {PartQuarantine, Quarantine} from '@bayspool/decisions/calls';
import type {ActiveConfiguration} from '../discovery/active_configuration.js';
import type {CordonRegistry} from '../discovery/cordon_registry.js';
import type {RunnerDirectory} from '../discovery/runner_directory.js';
import type {CallServer} from '../calls/call_server.js';
import type {HeldBytes} from '../calls/held_bytes.js';
import type {EventLog} from './event_log.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import type {EventLoopLag} from './event_loop_lag.js';
import type {PeerSynchronizer} from '../peers/peer_synchronizer.js';
import type {HostDirectory} from '../peers/host_directory.js';
import type {MembershipView} from '../peers/membership_view.js';
import type {RolloutRegistry} from '../rollouts/rollout_registry.js';
import {countRunners} from './count_runners.js';
import type {RunnerReachability} from '../runners/runner_reachability.js';
import type {ServiceCapacities} from '../runners/service_capacities.js';
import type {ServiceAdmissions} from '../host/service_admissions.js';
import type {ServiceLimits} from '../host/service_limits.js';
import {sampleRolloutOutcomes} from './sample_rollout_outcomes.js';
import {sampleDeclaredLimit} from './sample_declared_limit.js';
import {sampleSlowness} from './sample_slowness.js';
import {sampleRolloutAttempts} from './sample_rollout_attempts.js';

interface Options {
  readonly metrics: GatewayMetrics;
  readonly log: EventLog;
  readonly eventLoopLag: EventLoopLag;
  readonly configuration: ActiveConfiguration;
  readonly cordons: CordonRegistry;
  readonly reachability: RunnerReachability;
  readonly directory: RunnerDirectory;
  readonly callServer: CallServer;
  readonly heldBytes: HeldBytes;
  readonly peerSynchronizer: PeerSynchronizer;
  readonly hostDirectory: HostDirectory;
  readonly membership: MembershipView;
  readonly serviceLimits: ServiceLimits;
  readonly serviceCapacities: ServiceCapacities;
  readonly admissions: ServiceAdmissions;
  readonly rollouts: RolloutRegistry;
  readonly quarantine: Quarantine;
  readonly partQuarantine: PartQuarantine;
}

/** Registers the gauges that are read from the host's components on each scrape. */
export function registerGauges(options: Options): void {
  registerProcessGauges(options);
  registerDiscoveryGauges(options);
  registerRunnerGauges(options);
  registerRolloutGauges(options);
  registerAdmissionGauges(options);
}

function registerProcessGauges({
  metrics,
  log,
  eventLoopLag,
  callServer,
  heldBytes,
}: Options): void {
  metrics.registerGauge(
    'held_bytes',
    'Request and response bytes held for slow readers',
    () => heldBytes.bytes,
  );
  metrics.registerGauge(
    'held_bytes_max',
    'Bytes that this host may hold for slow readers',
    () => heldBytes.maxBytes,
  );
  metrics.registerGauge(
    'open_requests',
    'Requests not answered yet',
    () => callServer.openCalls,
  );
  metrics.registerGauge('resident_bytes', 'Memory of the process', () =>
    process.memoryUsage.rss(),
  );
  metrics.registerGauge(
    'loop_lag_seconds',
    'Worst lag of a timer since the metrics were last fetched',
    () => eventLoopLag.takeMaxSeconds(),
  );
  metrics.registerGauge(
    'log_lines_dropped',
    'Log lines left out since the start',
    () => log.droppedLines,
  );
}

function registerDiscoveryGauges(options: Options): void {
  const {metrics, configuration, cordons, membership} = options;
  const {hostDirectory, peerSynchronizer} = options;
  metrics.registerGauge(
    'configuration_version',
    'Configuration in force',
    () => configuration.current?.version ?? 0,
  );
  metrics.registerGauge(
    'configuration_age_seconds',
    'Time since it was known to be the newest',
    () => configuration.ageMs / 1000,
  );
  metrics.registerGauge(
    'cordoned_places',
    'Places whose runners get no new calls, by order',
    () => cordons.listPlaces().length,
  );
  metrics.registerGauge(
    'hosts',
    'Hosts known to live',
    () => hostDirectory.listLive().length,
  );
  metrics.registerGauge(
    'hosts_registered',
    'Hosts in the registry; 0 while this host has not loaded it',
    () => membership.registered ?? 0,
  );
  metrics.registerGauge(
    'hosts_heard_of',
    'Hosts heard of since the start, including this one',
    () => membership.heardOf,
  );
  metrics.registerGauge(
    'reads_store',
    'Whether this host reads the store',
    () => Number(peerSynchronizer.readsStore),
  );
}

function registerRunnerGauges(options: Options): void {
  const {metrics, directory, serviceLimits, quarantine, reachability} = options;
  const {configuration, serviceCapacities} = options;
  metrics.registerGauge(
    'runners_silent_seconds',
    'Time since this host last received anything from any runner; 0 if it never did',
    () => (reachability.silentMs ?? 0) / 1000,
  );
  metrics.registerGauge(
    'runners_unreachable',
    'Whether this host reaches no runner, so that other hosts serve its calls',
    () => Number(reachability.isCutOff),
  );
  metrics.registerGauge(
    'quarantined_requests',
    'Requests that are held back, as runners ended under them',
    () => quarantine.quarantinedFingerprints().length,
  );
  metrics.registerGauge(
    'requests_on_probation',
    'Requests that are held back for seconds and then tried, as runners ended again and again while they had them',
    () => quarantine.probationCount,
  );
  metrics.registerGauge(
    'quarantined_prompt_parts',
    'Parts of prompts that are held back, as runners ended on them',
    () => options.partQuarantine.quarantinedCount,
  );
  metrics.registerLabeledGauge(
    'runners',
    'Runners known, by what holds of them first',
    ['service', 'state'],
    () => countRunners(directory.all()),
  );
  metrics.registerLabeledGauge(
    'runner_limit',
    'Requests a second that a runner takes from all hosts together, where it names a limit',
    ['service', 'runner'],
    () => directory.all().flatMap(sampleDeclaredLimit),
  );
  metrics.registerLabeledGauge(
    'service_capacity_slots',
    'Slots of usable runners of nominal speed, as this host estimates; an engine counts as one',
    ['service'],
    () =>
      [...(configuration.current?.services.keys() ?? [])].map(service => ({
        labels: {service},
        value: serviceCapacities.get(service).slots,
      })),
  );
  metrics.registerLabeledGauge(
    'runner_slowness',
    'Actual over expected time of a runner that is not of nominal speed',
    ['service', 'runner'],
    () => directory.all().flatMap(sampleSlowness),
  );
  metrics.registerLabeledGauge(
    'runner_pending_seconds',
    'Reading of prompts that this host waits for at runners',
    ['service'],
    () =>
      directory.all().map(({entry: {service}, ownLoad}) => ({
        labels: {service},
        value: ownLoad.pendingMs / 1000,
      })),
  );
  metrics.registerLabeledGauge(
    'retry_budget',
    'Repeats that this host may still send now',
    ['service'],
    () => serviceLimits.sampleRetryBudgets(),
  );
  metrics.registerLabeledGauge(
    'promised_retry_seconds',
    'Work of rejected calls that this host has promised capacity for, in slot time',
    ['service'],
    () => serviceLimits.samplePromisedRetries(),
  );
}

function registerRolloutGauges({metrics, rollouts}: Options): void {
  const readShares = (hasSession: boolean) => () =>
    rollouts.all().map(rollout => ({
      labels: {service: rollout.order.service, phase: rollout.phase},
      value: rollout.shareOf({hasSession}),
    }));
  metrics.registerLabeledGauge(
    'rollout_share',
    'Share of the calls without a session that the new version gets now',
    ['service', 'phase'],
    readShares(false),
  );
  metrics.registerLabeledGauge(
    'rollout_session_share',
    'Share of sessions that the new version gets now',
    ['service', 'phase'],
    readShares(true),
  );
  metrics.registerLabeledGauge(
    'rollout_sent',
    'Attempts that all hosts made at the versions of a roll-out',
    ['service', 'version'],
    () => rollouts.all().flatMap(sampleRolloutAttempts),
  );
  metrics.registerLabeledGauge(
    'rollout_answers',
    'What all hosts saw of the versions of a roll-out',
    ['service', 'version', 'result'],
    () => rollouts.all().flatMap(sampleRolloutOutcomes),
  );
}

function registerAdmissionGauges({metrics, admissions}: Options): void {
  metrics.registerLabeledGauge(
    'capacity_short',
    'Whether capacity of a service is short (1) by the estimate of this host',
    ['service'],
    () => admissions.sample(({isShort}) => Number(isShort)),
  );
  metrics.registerLabeledGauge(
    'demand_over_capacity',
    'Work that callers ask of a service at all hosts, over what its runners can finish',
    ['service'],
    () => admissions.sample(({load}) => load),
  );
  metrics.registerLabeledGauge(
    'waiting_calls',
    'Calls that wait at this host for capacity of a service',
    ['service'],
    () => admissions.sample(({waiting}) => waiting),
  );
}
