import type {PartQuarantine, Quarantine} from '@bayspool/decisions/calls';
import type {SpeedSum} from '@bayspool/decisions/capacity';
import {getOwn} from '@bayspool/kernel';
import type {Clock} from '@bayspool/kernel';
import type {ServiceAdmissions} from './service_admissions.js';
import type {RunnerDirectory} from '../discovery/runner_directory.js';
import type {ServiceLimits} from './service_limits.js';
import type {LoadDigest} from '../peers/load_digest.js';
import type {Rollout} from '../rollouts/rollout.js';
import type {RolloutRegistry} from '../rollouts/rollout_registry.js';
import type {PartKeysByRunner} from '../runners/part_keys_by_runner.js';
import type {PrefixCacheIndex} from '../runners/prefix_cache_index.js';
import {getIncarnationId} from '../runners/get_incarnation_id.js';

interface Options {
  readonly clock: Clock;
  readonly directory: RunnerDirectory;
  readonly rollouts: RolloutRegistry;
  readonly prefixes: PrefixCacheIndex;
  readonly quarantine: Quarantine;
  readonly partQuarantine: PartQuarantine;
  readonly serviceLimits: Pick<
    ServiceLimits,
    'createRetryDigest' | 'applyPeerRetries'
  >;
  /** Admission control of the services; without it no demand is exchanged. */
  readonly admissions?: ServiceAdmissions;
}

/** A runner without running requests is left out of the digest if its outcomes weigh less than this. */
const MIN_REPORTED_WEIGHT = 0.05;

/** Load of a runner that no digest contains. */
const NO_LOAD = [0, 0, 0, 0] as const;

/** Exchanges load digests with other hosts: load and outcomes at runners, rollouts, prompt parts and quarantine. */
export class RunnerLoadExchange {
  private lastAppliedAt = -Infinity;

  constructor(private readonly options: Options) {}

  /** Time since the last digest from other hosts, in ms. What a reader relays of another place is half a second older. */
  get ageMs(): number {
    return this.options.clock.now() - this.lastAppliedAt;
  }

  /** Creates the digest that this host sends to the others. */
  createDigest(): LoadDigest {
    const runners = new Map<string, [number, number, number, number]>();
    for (const {entry, ownLoad} of this.options.directory.all()) {
      const {running, pendingMs, ok, failed} = ownLoad;
      if (running === 0 && ok + failed < MIN_REPORTED_WEIGHT) continue;
      runners.set(getIncarnationId(entry), [
        running,
        Math.round(pendingMs),
        roundTenths(ok),
        roundTenths(failed),
      ]);
    }
    const rollouts = Object.fromEntries(
      this.options.rollouts
        .all()
        .map(rollout => [
          rollout.order.service,
          rollout.createDigest(this.countOldRunning(rollout)),
        ]),
    );
    const quarantine = this.options.quarantine.createDigest();
    return {
      runners: Object.fromEntries(runners),
      rollouts,
      retries: this.options.serviceLimits.createRetryDigest(),
      parts: this.collectPromptParts(),
      quarantine,
      partQuarantine: this.options.partQuarantine.createDigest(),
      speeds: this.collectSpeeds(),
      demand: this.options.admissions?.createDigest(),
    };
  }

  /** Applies the sum of the other hosts' digests. */
  applyPeerDigest({
    runners,
    rollouts,
    retries,
    parts = {},
    quarantine,
    partQuarantine,
    speeds = {},
    demand,
  }: LoadDigest): void {
    const {clock, directory, prefixes} = this.options;
    this.lastAppliedAt = clock.now();
    for (const runner of directory.all()) {
      // Digests are keyed by incarnation: the load of another one with the same id does not count.
      const incarnationId = getIncarnationId(runner.entry);
      const [running, pendingMs, ok, failed] =
        getOwn(runners, incarnationId) ?? NO_LOAD;
      runner.peerLoad.updateFromPeers({running, pendingMs, ok, failed});
      runner.speed.updateFromPeers(getOwn(speeds, incarnationId));
      const keys = getOwn(parts, incarnationId);
      if (keys) prefixes.addKeysFromPeers(runner.entry.id, keys);
    }
    this.options.rollouts.applyRemoteDigests(rollouts);
    this.options.serviceLimits.applyPeerRetries(retries);
    if (demand) this.options.admissions?.applyPeerDigest(demand);
    if (quarantine) this.options.quarantine.mergeDigest(quarantine);
    if (partQuarantine) this.options.partQuarantine.mergeDigest(partQuarantine);
  }

  /** Returns the samples of runners that are clearly slower or faster than usual; undefined if there are none. */
  private collectSpeeds(): Record<string, SpeedSum> | undefined {
    const speeds = new Map<string, SpeedSum>();
    for (const {entry, speed} of this.options.directory.all()) {
      const sum = speed.createDigest();
      if (sum) speeds.set(getIncarnationId(entry), sum);
    }
    return speeds.size > 0 ? Object.fromEntries(speeds) : undefined;
  }

  private collectPromptParts(): PartKeysByRunner {
    const recentKeys = this.options.prefixes.collectRecentKeys();
    const parts = new Map<string, readonly number[]>();
    for (const {entry} of this.options.directory.all()) {
      const keys = getOwn(recentKeys, entry.id);
      if (keys) parts.set(getIncarnationId(entry), keys);
    }
    return Object.fromEntries(parts);
  }

  /** Counts this host's running requests on versions that the rollout replaces. */
  countOldRunning({order}: Rollout): number {
    return this.options.directory
      .all()
      .filter(
        ({entry}) =>
          entry.service === order.service && entry.version !== order.version,
      )
      .reduce((sum, runner) => sum + runner.ownLoad.running, 0);
  }
}

function roundTenths(value: number): number {
  return Math.round(value * 10) / 10;
}
