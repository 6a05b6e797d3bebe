import type {Configuration} from './configuration.js';
import type {Intent} from './intent.js';
import {VersionState} from './version_state.js';

/** Describes what an operator should know before confirming an intent, such as tasks that it leaves without a version. */
export function describeHazards(
  before: Configuration,
  after: Configuration,
  intent: Intent,
): string[] {
  const hazards = findTasksLosingLastVersion(before, after);
  if (
    intent.kind === 'roll-out' &&
    !isAllowedForAnyTask(after, intent.version)
  ) {
    hazards.push(
      `no workspace allows ${intent.version} yet; file allow-version for each task that should use it`,
    );
  }
  if (intent.kind === 'withdraw') {
    hazards.push(
      'a place that can reach neither the log nor its peers applies it only after it has reconnected',
    );
  }
  if (intent.kind === 'hand-over-place') {
    hazards.push(
      `${intent.to} will also serve the requests of ${intent.place}; check its load first`,
    );
  }
  if (
    intent.kind === 'move-workspace' &&
    after.places[intent.to]?.handedOverTo
  ) {
    hazards.push(
      `${intent.to} is handed over to ${after.places[intent.to].handedOverTo}, which will get the requests`,
    );
  }
  return hazards;
}

function findTasksLosingLastVersion(
  before: Configuration,
  after: Configuration,
): string[] {
  return findTasksWithoutVersion(after)
    .filter(name => !findTasksWithoutVersion(before).includes(name))
    .map(name => `${name} is left with no version that accepts new requests`);
}

function findTasksWithoutVersion(config: Configuration): string[] {
  return Object.values(config.workspaces).flatMap(workspace =>
    Object.entries(workspace.tasks)
      .filter(
        ([, task]) => !task.versions.some(id => acceptsNewWork(config, id)),
      )
      .map(([task]) => `task ${task} of workspace ${workspace.id}`),
  );
}

function acceptsNewWork(config: Configuration, id: string): boolean {
  const version = config.versions[id];
  if (!version || version.suspect !== undefined) return false;
  return (
    version.state === VersionState.STABLE ||
    version.state === VersionState.ROLLING_OUT
  );
}

function isAllowedForAnyTask(config: Configuration, id: string): boolean {
  return Object.values(config.workspaces).some(workspace =>
    Object.values(workspace.tasks).some(task => task.versions.includes(id)),
  );
}
