import type {Configuration} from '../configuration/configuration.js';
import type {Version} from '../configuration/version.js';
import {VersionState} from '../configuration/version_state.js';
import {selectByRendezvousHash} from '../membership/select_by_rendezvous_hash.js';
import type {PlannedOrder} from './planned_order.js';
import type {RunnerInventory} from './runner_inventory.js';

const MIN_REPLICAS = 2;

/**
 * Plans which versions the runners of a place still have to load or unload. The plan depends only on
 * the configuration and the runners' own reports, so every holder of the lease plans the same orders,
 * and an interrupted rollout continues from the current state of the runners.
 */
export function planOrders(
  config: Configuration,
  runners: readonly RunnerInventory[],
): PlannedOrder[] {
  const freeSlots = new Map(
    runners.map(runner => [
      runner.id,
      runner.versionSlots - runner.versions.length,
    ]),
  );
  const unloads = planUnloads(config, runners);
  unloads.forEach(order =>
    freeSlots.set(order.runner, freeSlots.get(order.runner)! + 1),
  );
  const loads = Object.values(config.versions)
    .filter(version => shouldBeLoaded(config, version))
    .sort((a, b) => a.id.localeCompare(b.id))
    .flatMap(version => planLoads(version, runners, freeSlots));
  return [...unloads, ...loads];
}

function planUnloads(
  config: Configuration,
  runners: readonly RunnerInventory[],
): PlannedOrder[] {
  return runners.flatMap(runner =>
    runner.versions
      .filter(id => config.versions[id]?.state === VersionState.WITHDRAWN)
      .map(version => ({
        runner: runner.id,
        version,
        desired: 'unloaded' as const,
      })),
  );
}

function planLoads(
  version: Version,
  runners: readonly RunnerInventory[],
  freeSlots: Map<string, number>,
): PlannedOrder[] {
  const replicas = runners.filter(
    runner => runner.versions.includes(version.id) && !runner.drained,
  );
  const missing = computeTargetReplicas(version, runners) - replicas.length;
  const candidates = runners.filter(
    runner =>
      !runner.drained &&
      !replicas.includes(runner) &&
      freeSlots.get(runner.id)! > 0,
  );
  const chosen = selectByRendezvousHash(
    candidates.map(runner => runner.id),
    version.id,
    Math.max(0, missing),
  );
  chosen.forEach(id => freeSlots.set(id, freeSlots.get(id)! - 1));
  return chosen.map(runner => ({
    runner,
    version: version.id,
    desired: 'loaded',
  }));
}

/** Computes how many runners should have the version loaded: its fraction of the requests, but at least two. */
function computeTargetReplicas(
  version: Version,
  runners: readonly RunnerInventory[],
): number {
  const fraction = version.rollOut
    ? version.rollOut.steps[version.rollOut.step]
    : 0;
  return Math.min(
    runners.length,
    Math.max(MIN_REPLICAS, Math.ceil(fraction * runners.length)),
  );
}

function shouldBeLoaded(config: Configuration, version: Version): boolean {
  const acceptsNewWork =
    version.state === VersionState.STABLE ||
    version.state === VersionState.ROLLING_OUT;
  return (
    acceptsNewWork &&
    Object.values(config.workspaces).some(workspace =>
      Object.values(workspace.tasks).some(task =>
        task.versions.includes(version.id),
      ),
    )
  );
}
