import {Problem, ProblemKind} from '@bayspool/kernel';
import {Left, Right, type Either} from 'purify-ts';
import type {Sealer} from '../sealing/sealer.js';
import {Ticket} from './ticket.js';

const PREFIX = 'bst_';

/** Seals tickets, which any host can open. */
export class TicketSealer {
  constructor(private readonly sealer: Sealer) {}

  seal(ticket: Ticket): string {
    return PREFIX + this.sealer.seal(ticket);
  }

  /** Whether a key is a ticket, rather than an idempotency key that the caller chose. */
  isTicket(key: string): boolean {
    return key.startsWith(PREFIX);
  }

  open(text: string, workspace: string): Either<Problem, Ticket> {
    return this.sealer
      .open(text.slice(PREFIX.length))
      .mapLeft(createInvalidTicketProblem)
      .chain(value => {
        const parsed = Ticket.safeParse(value);
        const isValid = parsed.success && parsed.data.workspace === workspace;
        return isValid
          ? Right(parsed.data)
          : Left(createInvalidTicketProblem());
      });
  }
}

function createInvalidTicketProblem(): Problem {
  return new Problem({
    kind: ProblemKind.BAD_REQUEST,
    what: 'the ticket is not one that this workspace was given',
    remedy: 'take a new ticket with POST /v1/tickets',
  });
}
