import type {Quarantine} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {RunnerDirectory} from '../discovery/runner_directory.js';
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
}

/** Weight of outcomes under which a runner without running requests is not told of. */
const MIN_REPORTED_WEIGHT = 0.05;

/** What counts for a runner of which nobody told. */
const NO_LOAD = [0, 0, 0, 0] as const;

/** Loads and outcomes at runners, as this host and the others tell them to each other. */
export class RunnerLoadExchange {
  private lastAppliedAt = -Infinity;

  constructor(private readonly options: Options) {}

  /** Time since other hosts last told, in ms. What a reader tells of another place is older by half a second. */
  get ageMs(): number {
    return this.options.clock.now() - this.lastAppliedAt;
  }

  /** What this host tells the others. */
  createDigest(): LoadDigest {
    const runners: Record<string, [number, number, number, number]> = {};
    for (const {entry, ownLoad} of this.options.directory.all()) {
      const {running, pendingMs, ok, failed} = ownLoad;
      if (running === 0 && ok + failed < MIN_REPORTED_WEIGHT) continue;
      runners[getIncarnationId(entry)] = [
        running,
        Math.round(pendingMs),
        roundTenths(ok),
        roundTenths(failed),
      ];
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
    return {runners, rollouts, parts: this.collectPromptParts(), quarantine};
  }

  /** Takes over what the other hosts told, summed over them. */
  applyPeerDigest({
    runners,
    rollouts,
    parts = {},
    quarantine,
  }: LoadDigest): void {
    const {clock, directory, prefixes} = this.options;
    this.lastAppliedAt = clock.now();
    for (const runner of directory.all()) {
      // What is told of another start under the same id is not about this one.
      const start = getIncarnationId(runner.entry);
      const [running, pendingMs, ok, failed] = runners[start] ?? NO_LOAD;
      runner.peerLoad.updateFromPeers({running, pendingMs, ok, failed});
      const keys = parts[start];
      if (keys) prefixes.addKeysFromPeers(runner.entry.id, keys);
    }
    this.options.rollouts.applyRemoteDigests(rollouts);
    if (quarantine) this.options.quarantine.mergeDigest(quarantine);
  }

  private collectPromptParts(): PartKeysByRunner {
    const news = this.options.prefixes.collectRecentKeys();
    const parts: Record<string, readonly number[]> = {};
    for (const {entry} of this.options.directory.all()) {
      const keys = news[entry.id];
      if (keys) parts[getIncarnationId(entry)] = keys;
    }
    return parts;
  }

  /** Requests of this host that run on versions which the roll-out replaces. */
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
