import {Problem, ProblemKind} from '@bayspool/kernel';
import {Left, Right, type Either} from 'purify-ts';
import type {Sealer} from '../sealing/sealer.js';
import {Session} from './session.js';

/** Creates session ids that any host can open, and rejects modified ids and those of other workspaces. */
export class SessionSealer {
  constructor(private readonly sealer: Sealer) {}

  seal(session: Session): string {
    return this.sealer.seal(session);
  }

  open(text: string, workspace: string): Either<Problem, Session> {
    return this.sealer
      .open(text)
      .mapLeft(createInvalidSessionProblem)
      .chain(parseSession)
      .chain(session =>
        session.workspace === workspace
          ? Right(session)
          : Left(createInvalidSessionProblem()),
      );
  }
}

function parseSession(value: unknown): Either<Problem, Session> {
  const parsed = Session.safeParse(value);
  return parsed.success
    ? Right(parsed.data)
    : Left(createInvalidSessionProblem());
}

function createInvalidSessionProblem(): Problem {
  return new Problem({
    kind: ProblemKind.BAD_REQUEST,
    what: 'the session id is not one that this workspace was given',
    remedy:
      'send Bayspool-Session as it was received, or leave it out to begin a new session',
  });
}
