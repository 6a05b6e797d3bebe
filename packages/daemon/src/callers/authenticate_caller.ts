import {timingSafeEqual} from 'node:crypto';
import {
  hashAccessKey,
  type Configuration,
  type Workspace,
} from '@bayspool/decisions';
import {Problem, ProblemKind} from '@bayspool/kernel';
import {Left, Right, type Either} from 'purify-ts';

const BEARER_PREFIX = 'Bearer ';

/** Finds the workspace that the key in the header belongs to. Every key is compared, each in constant time. */
export function authenticateCaller(
  config: Configuration,
  authorization: string | undefined,
): Either<Problem, Workspace> {
  if (!authorization?.startsWith(BEARER_PREFIX))
    return Left(createUnauthorizedProblem());
  const hash = Buffer.from(
    hashAccessKey(authorization.slice(BEARER_PREFIX.length)),
    'hex',
  );
  let found: Workspace | undefined;
  for (const workspace of Object.values(config.workspaces)) {
    for (const configured of workspace.keyHashes) {
      if (timingSafeEqual(hash, Buffer.from(configured, 'hex')))
        found = workspace;
    }
  }
  return found ? Right(found) : Left(createUnauthorizedProblem());
}

function createUnauthorizedProblem(): Problem {
  return new Problem({
    kind: ProblemKind.UNAUTHORIZED,
    what: 'the key is missing or not known',
    remedy: 'send Authorization: Bearer with a key of the workspace',
  });
}
