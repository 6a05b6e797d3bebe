import type {Configuration} from '../configuration/configuration.js';
import type {Version} from '../configuration/version.js';
import {VersionState} from '../configuration/version_state.js';
import {selectByRendezvousHash} from '../membership/select_by_rendezvous_hash.js';
import type {PlannedOrder} from './planned_order.js';
import type {RunnerInventory} from './runner_inventory.js';

const MIN_REPLICAS = 2;

/**
 * What the runners of a place still have to load or unload. It follows from the
 * configuration and the runners' own reports alone, so any holder of the lease
 * plans the same, and an interrupted roll-out goes on where the runners are.
 */
export function planOrders(
  config: Configuration,
  runners: readonly RunnerInventory[],
): PlannedOrder[] {
  const free = new Map(
    runners.map(runner => [
      runner.id,
      runner.versionSlots - runner.versions.length,
    ]),
  );
  const unloads = planUnloads(config, runners);
  unloads.forEach(order => free.set(order.runner, free.get(order.runner)! + 1));
  const loads = Object.values(config.versions)
    .filter(version => shouldBeLoaded(config, version))
    .sort((a, b) => a.id.localeCompare(b.id))
    .flatMap(version => planLoads(version, runners, free));
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
  free: Map<string, number>,
): PlannedOrder[] {
  const carriers = runners.filter(
    runner => runner.versions.includes(version.id) && !runner.drained,
  );
  const missing = computeTargetReplicas(version, runners) - carriers.length;
  const able = runners.filter(
    runner =>
      !runner.drained && !carriers.includes(runner) && free.get(runner.id)! > 0,
  );
  const chosen = selectByRendezvousHash(
    able.map(runner => runner.id),
    version.id,
    Math.max(0, missing),
  );
  chosen.forEach(id => free.set(id, free.get(id)! - 1));
  return chosen.map(runner => ({
    runner,
    version: version.id,
    desired: 'loaded',
  }));
}

/** As many of the runners as its part of the work asks for, and at least two. */
function computeTargetReplicas(
  version: Version,
  runners: readonly RunnerInventory[],
): number {
  const part = version.rollOut
    ? version.rollOut.steps[version.rollOut.step]
    : 0;
  return Math.min(
    runners.length,
    Math.max(MIN_REPLICAS, Math.ceil(part * runners.length)),
  );
}

function shouldBeLoaded(config: Configuration, version: Version): boolean {
  const takesWork =
    version.state === VersionState.STABLE ||
    version.state === VersionState.ROLLING_OUT;
  return (
    takesWork &&
    Object.values(config.workspaces).some(workspace =>
      Object.values(workspace.tasks).some(task =>
        task.versions.includes(version.id),
      ),
    )
  );
}
