import {getOwn, Problem, ProblemKind} from '@bayspool/kernel';
import {Left, Right, type Either} from 'purify-ts';
import type {Configuration} from '../configuration/configuration.js';
import type {Version} from '../configuration/version.js';
import {VersionState} from '../configuration/version_state.js';
import {StalePolicy} from '../configuration/stale_policy.js';
import type {VersionRequest} from './version_request.js';

const AUTO = 'auto';

/**
 * Finds the versions that may answer a request, weakest model first. No request reaches a runner
 * without this check: it is repeated before every attempt, so that a configuration change also stops
 * queued, retried and cascaded requests.
 */
export function findEligibleVersions(
  config: Configuration,
  request: VersionRequest,
): Either<Problem, Version[]> {
  const workspace = getOwn(config.workspaces, request.workspace);
  const task = getOwn(workspace?.tasks ?? {}, request.task);
  if (!workspace || !task)
    return Left(
      createUnknownTaskProblem(
        request.task,
        Object.keys(workspace?.tasks ?? {}),
      ),
    );
  if (request.stale && workspace.whenStale === StalePolicy.REFUSE)
    return Left(createStaleProblem());
  const allowed = task.versions
    .map(id => getOwn(config.versions, id))
    .filter(version => version !== undefined);
  if (request.session) return resolveSessionVersion(config, request, allowed);
  const selected = allowed.filter(version =>
    matchesSelector(version, request.selector),
  );
  if (selected.length === 0) return Left(createNotAllowedProblem(request));
  const usable = selected.filter(version => acceptsNewWork(version, request));
  if (usable.length === 0) return Left(createNoUsableVersionProblem(request));
  return Right(
    usable.sort((a, b) => a.strength - b.strength || a.id.localeCompare(b.id)),
  );
}

function resolveSessionVersion(
  config: Configuration,
  request: VersionRequest,
  allowed: readonly Version[],
): Either<Problem, Version[]> {
  const id = request.session!.version;
  const version = getOwn(config.versions, id);
  if (!version || version.state === VersionState.WITHDRAWN)
    return Left(createSessionEndedProblem(`version ${id} was withdrawn`));
  if (!allowed.includes(version))
    return Left(
      createSessionEndedProblem(
        `version ${id} is no longer allowed for this task`,
      ),
    );
  if (isSuspect(version, request))
    return Left(createSessionEndedProblem(`version ${id} was halted`));
  if (request.stale && version.state === VersionState.ROLLING_OUT)
    return Left(createStaleProblem());
  return Right([version]);
}

function acceptsNewWork(version: Version, request: VersionRequest): boolean {
  if (isSuspect(version, request)) return false;
  if (version.state === VersionState.STABLE) return true;
  return version.state === VersionState.ROLLING_OUT && !request.stale;
}

function isSuspect(version: Version, request: VersionRequest): boolean {
  return version.suspect !== undefined || request.suspects.has(version.id);
}

function matchesSelector(version: Version, selector: string): boolean {
  return (
    selector === AUTO || selector === version.id || selector === version.model
  );
}

function createUnknownTaskProblem(
  task: string,
  known: readonly string[],
): Problem {
  return new Problem({
    kind: ProblemKind.BAD_REQUEST,
    what: `this workspace has no task ${JSON.stringify(task)}`,
    remedy: `send Bayspool-Task with one of ${known.join(', ') || '(none is configured)'}`,
  });
}

function createNotAllowedProblem(request: VersionRequest): Problem {
  return new Problem({
    kind: ProblemKind.NOT_ALLOWED,
    what: `model ${JSON.stringify(request.selector)} is not allowed for task ${request.task}`,
    remedy: 'name a model that GET /v1/models lists, or auto',
  });
}

function createNoUsableVersionProblem(request: VersionRequest): Problem {
  return new Problem({
    kind: ProblemKind.NO_RUNNER,
    what: `no version of ${JSON.stringify(request.selector)} accepts new requests now`,
    remedy: 'name another model or auto, or try again later',
    retryAfterMs: 5_000,
  });
}

function createSessionEndedProblem(reason: string): Problem {
  return new Problem({
    kind: ProblemKind.SESSION_ENDED,
    what: `the session has ended: ${reason}`,
    remedy: 'omit Bayspool-Session to start a new session',
  });
}

function createStaleProblem(): Problem {
  return new Problem({
    kind: ProblemKind.STALE,
    what: 'this host cannot tell whether its configuration is current, so it must not run this request',
    remedy: 'try again later or at another place',
    retryAfterMs: 10_000,
  });
}
