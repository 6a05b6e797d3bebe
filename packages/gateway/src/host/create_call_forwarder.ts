import type {ModelCascade} from '@bayspool/decisions/calls';
import {WorkEstimator} from '@bayspool/decisions/capacity';
import type {DurationEstimator} from '@bayspool/decisions/capacity';
import type {ConnectionReads} from '@bayspool/kernel';
import {CallCandidates} from '../calls/call_candidates.js';
import {CallForwarder} from '../calls/call_forwarder.js';
import type {StopAdmission} from '../lifecycle/stop_admission.js';
import type {StopSchedule} from '../lifecycle/stop_schedule.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {RelayHostRegistry} from '../relay/relay_host_registry.js';
import {PrefillRates} from '../runners/prefill_rates.js';
import {RunnerChooser} from '../runners/runner_chooser.js';
import {RunnerSubset} from '../runners/runner_subset.js';
import type {GatewayOptions} from './gateway_options.js';
import type {HostState} from './host_state.js';
import type {WorkShare} from '../calls/work_share.js';

interface Options extends Pick<
  GatewayOptions,
  'clock' | 'random' | 'log' | 'headerNames' | 'settings'
> {
  readonly state: HostState;
  readonly metrics: GatewayMetrics;
  /** How old this host's knowledge of its callers' connections is. */
  readonly connectionReads: ConnectionReads;
  readonly workShare: WorkShare;
  readonly stopSchedule: StopSchedule;
  readonly stopAdmission: StopAdmission;
  /** How long calls take to the end of their responses. */
  readonly durations: DurationEstimator;
  readonly relayHosts: RelayHostRegistry;
  readonly cascade: ModelCascade;
}

/** Creates the part of a host that sends calls to runners, from what the host knows and its settings. */
export function createCallForwarder({
  state,
  settings,
  ...shared
}: Options): CallForwarder {
  const {clock, random} = shared;
  const {serviceLimits, runnerLoads, hostDirectory, admissions} = state;
  const {directory, prefixes, runnerGate: gate} = state;
  const subset = new RunnerSubset({
    clock,
    host: settings.host,
    hostsOf: place => hostDirectory.listRegisteredIn(place),
  });
  const rates = new PrefillRates({
    costFactorOf: model => serviceLimits.costFactorOf(model),
  });
  const work = new WorkEstimator();
  const memoryTokensOf = (service: string) =>
    serviceLimits.memoryTokensOf(service);
  return new CallForwarder({
    ...shared,
    work,
    memoryTokensOf,
    prefixes,
    rates,
    directory,
    gate,
    sessions: state.sessions,
    quarantine: state.quarantine,
    partQuarantine: state.partQuarantine,
    reachability: state.reachability,
    silentRunners: state.silentRunners,
    rollouts: state.rollouts,
    membership: state.membership,
    host: settings.host,
    candidates: new CallCandidates({directory, regionOf: settings.regionOf}),
    chooser: new RunnerChooser({
      random,
      rates,
      work,
      prefixes,
      memoryTokensOf,
      place: settings.place,
      hosts: () => hostDirectory.liveCount,
      isInSubset: runner => subset.includes(runner),
      lostPlaces: () => hostDirectory.findLostPlaces(),
    }),
    retryBudgetOf: service => serviceLimits.retryBudgetOf(service),
    priorityAdmissionOf: service => serviceLimits.priorityAdmissionOf(service),
    retryScheduleOf: service => serviceLimits.retryScheduleOf(service),
    overloadControlOf: service => admissions.controlOf(service),
    nextPriorityOf: (service, priority) =>
      serviceLimits.nextPriorityOf(service, priority),
    loadsAgeMs: () => runnerLoads.ageMs,
    latencyTargetOf: service => serviceLimits.latencyTargetOf(service),
  });
}
