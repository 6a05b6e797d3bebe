import {getOwn} from '@bayspool/kernel';
import {Left, Right, type Either} from 'purify-ts';
import type {Configuration} from './configuration.js';
import type {Intent} from './intent.js';
import type {Version} from './version.js';
import {VersionState} from './version_state.js';
import type {Workspace} from './workspace.js';

/** Why an intent cannot be applied, worded for the operator. */
type Rejection = string;
type Result = Either<Rejection, Configuration>;

const MODEL_SEPARATOR = '@';

/**
 * Applies an intent to the configuration, or returns why it cannot be applied. Pure, so that all hosts
 * get the same result. The text of a rejection becomes part of the state that hosts compare by digest.
 */
export function applyIntent(config: Configuration, intent: Intent): Result {
  switch (intent.kind) {
    case 'set-workspace':
      return setWorkspace(config, intent.workspace);
    case 'allow-version':
      return allowVersion(config, intent);
    case 'set-limit':
      return changeWorkspace(config, intent.workspace, workspace => ({
        ...workspace,
        limit: intent.limit ?? undefined,
      }));
    case 'move-workspace':
      return requirePlace(config, intent.to).chain(() =>
        changeWorkspace(config, intent.workspace, workspace => ({
          ...workspace,
          home: intent.to,
        })),
      );
    case 'roll-out':
      return startRollOut(config, intent);
    case 'retire':
      return changeVersion(config, intent.version, retireVersion);
    case 'withdraw':
      return changeVersion(config, intent.version, withdrawVersion);
    case 'resume-roll-out':
      return changeVersion(config, intent.version, resumeRollOut);
    case 'advance-roll-out':
      return changeVersion(config, intent.version, version =>
        advanceRollOut(version, intent.step),
      );
    case 'halt-version':
      return changeVersion(config, intent.version, version =>
        haltVersion(version, intent.evidence),
      );
    case 'drain-host':
      return Right({
        ...config,
        drained: {...config.drained, [`host/${intent.host}`]: true},
      });
    case 'drain-runner':
      return Right({
        ...config,
        drained: {...config.drained, [`runner/${intent.runner}`]: true},
      });
    case 'undrain':
      return undrain(config, intent);
    case 'hand-over-place':
      return handOverPlace(config, intent.place, intent.to);
  }
}

function setWorkspace(config: Configuration, workspace: Workspace): Result {
  return requirePlace(config, workspace.home).map(() => ({
    ...config,
    workspaces: {...config.workspaces, [workspace.id]: workspace},
  }));
}

function allowVersion(
  config: Configuration,
  intent: Extract<Intent, {kind: 'allow-version'}>,
): Result {
  const version = getOwn(config.versions, intent.version);
  if (!version) return Left(`there is no version ${intent.version}`);
  if (intent.allowed && version.state === VersionState.WITHDRAWN) {
    return Left(`version ${intent.version} is withdrawn`);
  }
  const task = getOwn(
    getOwn(config.workspaces, intent.workspace)?.tasks ?? {},
    intent.task,
  );
  if (!task)
    return Left(`workspace ${intent.workspace} has no task ${intent.task}`);
  const others = task.versions.filter(id => id !== intent.version);
  const versions = intent.allowed ? [...others, intent.version] : others;
  return changeWorkspace(config, intent.workspace, workspace => ({
    ...workspace,
    tasks: {...workspace.tasks, [intent.task]: {...task, versions}},
  }));
}

function startRollOut(
  config: Configuration,
  intent: Extract<Intent, {kind: 'roll-out'}>,
): Result {
  if (getOwn(config.versions, intent.version)) {
    return Left(
      `version ${intent.version} was rolled out before; give the new one an id of its own`,
    );
  }
  const version: Version = {
    id: intent.version,
    model: intent.version.split(MODEL_SEPARATOR)[0],
    state: VersionState.ROLLING_OUT,
    cost: intent.cost,
    strength: intent.strength,
    rollOut: {steps: intent.steps, step: 0, exposure: intent.exposure},
  };
  return Right({
    ...config,
    versions: {...config.versions, [version.id]: version},
  });
}

function retireVersion(version: Version): Either<Rejection, Version> {
  if (version.state === VersionState.WITHDRAWN)
    return Left(`version ${version.id} is withdrawn already`);
  return Right({...version, state: VersionState.RETIRING, rollOut: undefined});
}

function withdrawVersion(version: Version): Either<Rejection, Version> {
  if (version.state === VersionState.WITHDRAWN)
    return Left(`version ${version.id} is withdrawn already`);
  return Right({...version, state: VersionState.WITHDRAWN, rollOut: undefined});
}

function resumeRollOut(version: Version): Either<Rejection, Version> {
  if (version.suspect === undefined)
    return Left(`version ${version.id} is not halted`);
  if (version.state === VersionState.WITHDRAWN)
    return Left(`version ${version.id} is withdrawn`);
  return Right({...version, suspect: undefined});
}

function advanceRollOut(
  version: Version,
  step: number,
): Either<Rejection, Version> {
  if (!version.rollOut || version.suspect !== undefined)
    return Left(`version ${version.id} is not rolling out`);
  if (step !== version.rollOut.step + 1)
    return Left(`version ${version.id} is at step ${version.rollOut.step}`);
  if (step >= version.rollOut.steps.length)
    return Right({...version, state: VersionState.STABLE, rollOut: undefined});
  return Right({...version, rollOut: {...version.rollOut, step}});
}

function haltVersion(
  version: Version,
  evidence: string,
): Either<Rejection, Version> {
  if (version.state === VersionState.WITHDRAWN)
    return Left(`version ${version.id} is withdrawn`);
  if (version.suspect !== undefined)
    return Left(`version ${version.id} is halted already`);
  return Right({...version, suspect: evidence});
}

function undrain(
  config: Configuration,
  intent: Extract<Intent, {kind: 'undrain'}>,
): Result {
  if (intent.place) {
    const place = getOwn(config.places, intent.place);
    if (!place?.handedOverTo)
      return Left(`place ${intent.place} is not handed over`);
    return Right({
      ...config,
      places: {
        ...config.places,
        [place.id]: {...place, handedOverTo: undefined},
      },
    });
  }
  const key = intent.host ? `host/${intent.host}` : `runner/${intent.runner}`;
  if (!config.drained[key]) return Left(`${key} is not drained`);
  const drained = Object.fromEntries(
    Object.entries(config.drained).filter(([name]) => name !== key),
  );
  return Right({...config, drained});
}

function handOverPlace(
  config: Configuration,
  from: string,
  to: string,
): Result {
  if (from === to) return Left('a place cannot be handed over to itself');
  return requirePlace(config, from)
    .chain(() => requirePlace(config, to))
    .chain(() => {
      if (getOwn(config.places, to)?.handedOverTo)
        return Left(`place ${to} is handed over itself`);
      const takers = Object.values(config.places).filter(
        place => place.handedOverTo === from,
      );
      if (takers.length > 0)
        return Left(`place ${from} takes the work of ${takers[0].id}`);
      return Right({
        ...config,
        places: {
          ...config.places,
          [from]: {...config.places[from], handedOverTo: to},
        },
      });
    });
}

function requirePlace(
  config: Configuration,
  id: string,
): Either<Rejection, true> {
  return getOwn(config.places, id)
    ? Right(true)
    : Left(`there is no place ${id}`);
}

function changeWorkspace(
  config: Configuration,
  id: string,
  change: (workspace: Workspace) => Workspace,
): Result {
  const workspace = getOwn(config.workspaces, id);
  if (!workspace) return Left(`there is no workspace ${id}`);
  return Right({
    ...config,
    workspaces: {...config.workspaces, [id]: change(workspace)},
  });
}

function changeVersion(
  config: Configuration,
  id: string,
  change: (version: Version) => Either<Rejection, Version>,
): Result {
  const version = getOwn(config.versions, id);
  if (!version) return Left(`there is no version ${id}`);
  return change(version).map(changed => ({
    ...config,
    versions: {...config.versions, [id]: changed},
  }));
}
