import type {Quarantine} from '@bayspool/decisions/calls';
import type {ConfigurationBelief} from '../beliefs/configuration_belief.js';
import type {Cordons} from '../beliefs/cordons.js';
import type {RunnerDirectory} from '../beliefs/runner_directory.js';
import type {CallServer} from '../calls/call_server.js';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {LoopLag} from '../observability/loop_lag.js';
import type {PeerSynchronizer} from '../peers/peer_synchronizer.js';
import type {HostDirectory} from '../peers/host_directory.js';
import type {RolloutRegistry} from '../rollouts/rollout_registry.js';
import {countRunners} from './count_runners.js';
import type {ServiceLimits} from './service_limits.js';
import {tellEvidence} from './tell_evidence.js';
import {tellLimit} from './tell_limit.js';
import {tellSent} from './tell_sent.js';

interface Options {
  readonly metrics: GatewayMetrics;
  readonly log: EventLog;
  readonly lag: LoopLag;
  readonly belief: ConfigurationBelief;
  readonly cordons: Cordons;
  readonly directory: RunnerDirectory;
  readonly door: CallServer;
  readonly news: PeerSynchronizer;
  readonly roster: HostDirectory;
  readonly limits: ServiceLimits;
  readonly rollouts: RolloutRegistry;
  readonly quarantine: Quarantine;
}

/** Registers the figures that are read from a host's parts when the metrics are asked for. */
export function observeParts(options: Options): void {
  observeProcess(options);
  observeBeliefs(options);
  observeRunners(options);
  observeRollouts(options);
}

function observeProcess({metrics, log, lag, door}: Options): void {
  metrics.observe(
    'open_requests',
    'Requests not answered yet',
    () => door.openCalls,
  );
  metrics.observe('resident_bytes', 'Memory of the process', () =>
    process.memoryUsage.rss(),
  );
  metrics.observe(
    'loop_lag_seconds',
    'Worst lag of a timer since the metrics were last fetched',
    () => lag.takeWorstSeconds(),
  );
  metrics.observe(
    'log_lines_dropped',
    'Log lines left out since the start',
    () => log.droppedLines,
  );
}

function observeBeliefs(options: Options): void {
  const {metrics, belief, cordons, roster, news} = options;
  metrics.observe(
    'configuration_version',
    'Configuration in force',
    () => belief.current?.version ?? 0,
  );
  metrics.observe(
    'configuration_age_seconds',
    'Time since it was known to be the newest',
    () => belief.ageMs / 1000,
  );
  metrics.observe(
    'cordoned_places',
    'Places whose runners get no new calls, by order',
    () => cordons.places().length,
  );
  metrics.observe(
    'hosts',
    'Hosts known to live',
    () => roster.listLive().length,
  );
  metrics.observe('reads_store', 'Whether this host reads the store', () =>
    Number(news.readsStore),
  );
}

function observeRunners(options: Options): void {
  const {metrics, directory, limits, quarantine} = options;
  metrics.observe(
    'quarantined_requests',
    'Requests that are held back, as runners ended under them',
    () => quarantine.quarantinedFingerprints().length,
  );
  metrics.observeEach(
    'runners',
    'Runners known, by what holds of them first',
    ['service', 'state'],
    () => countRunners(directory.all()),
  );
  metrics.observeEach(
    'runner_limit',
    'Requests a second that a runner takes from all hosts together, where it names a limit',
    ['service', 'runner'],
    () => directory.all().flatMap(tellLimit),
  );
  metrics.observeEach(
    'runner_pending_seconds',
    'Reading of prompts that this host waits for at runners',
    ['service'],
    () =>
      directory.all().map(({entry: {service}, ownLoad}) => ({
        labels: {service},
        value: ownLoad.pendingMs / 1000,
      })),
  );
  metrics.observeEach(
    'retry_budget',
    'Repeats that this host may still send now',
    ['service'],
    () => limits.budgetsLeft(),
  );
}

function observeRollouts({metrics, rollouts}: Options): void {
  const readShares = (hasSession: boolean) => () =>
    rollouts.all().map(rollout => ({
      labels: {service: rollout.order.service, phase: rollout.phase},
      value: rollout.shareOf({hasSession}),
    }));
  metrics.observeEach(
    'rollout_share',
    'Share of the calls without a session that the new version gets now',
    ['service', 'phase'],
    readShares(false),
  );
  metrics.observeEach(
    'rollout_session_share',
    'Share of sessions that the new version gets now',
    ['service', 'phase'],
    readShares(true),
  );
  metrics.observeEach(
    'rollout_sent',
    'Attempts that all hosts made at the versions of a roll-out',
    ['service', 'version'],
    () => rollouts.all().flatMap(tellSent),
  );
  metrics.observeEach(
    'rollout_answers',
    'What all hosts saw of the versions of a roll-out',
    ['service', 'version', 'result'],
    () => rollouts.all().flatMap(tellEvidence),
  );
}
