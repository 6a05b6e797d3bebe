import {Problem, ProblemKind} from '@bayspool/kernel';
import type {ConfigurationStore} from '../configuration/configuration_store.js';
import type {LeavingState} from '../leaving/leaving_state.js';
import type {WorkspaceLimits} from '../limits/workspace_limits.js';
import {authenticate} from './authenticate.js';
import type {CallDispatcher} from './call_dispatcher.js';
import type {CallerAnswer} from './caller_answer.js';
import type {CallerCall} from './caller_call.js';
import {callerHeaders} from './caller_headers.js';
import {modelsList} from './models_list.js';
import type {RawCall} from './raw_call.js';
import type {KeyedAnswers} from './tickets/keyed_answers.js';

interface Options {
  readonly store: ConfigurationStore;
  readonly leaving: LeavingState;
  readonly limits: WorkspaceLimits;
  readonly dispatcher: CallDispatcher;
  readonly keyed: KeyedAnswers;
}

const DEADLINE_MOST_MS = 600_000;
const KEY_LENGTH_MOST = 1_024;
const RETRY_AFTER_MS = 1_000;

/** Admits callers' requests: who it is, whether this host takes work, the limit, the key. Knows no HTTP server. */
export class CallerDesk {
  constructor(private readonly options: Options) {}

  /** Answers a request, or throws what its caller is to be told. */
  async answer(raw: RawCall): Promise<CallerAnswer> {
    const {store, leaving, limits} = this.options;
    if (!store.isReady) throw notReady();
    if (leaving.rejectsNewWork()) throw draining();
    const workspace = authenticate(
      store.current,
      raw.headers[callerHeaders.authorization],
    ).caseOf({
      Left: problem => {
        throw problem;
      },
      Right: found => found,
    });
    const [path] = raw.path.split('?');
    if (path === '/v1/models' && raw.method === 'GET')
      return json(modelsList(store.current, workspace.id));
    const over = limits.admit(workspace.id);
    if (over) throw over;
    if (path === '/v1/tickets' && raw.method === 'POST')
      return this.ticket(workspace.id);
    const call = toCall(raw, workspace.id);
    const key = call.headers[callerHeaders.idempotencyKey];
    if (key === undefined) return this.options.dispatcher.dispatch(call);
    if (key.length > KEY_LENGTH_MOST || key.length === 0) throw badKey();
    const stored = await this.options.keyed.answer(key, call);
    return {
      status: stored.status,
      headers: stored.headers,
      body: Buffer.from(stored.body, 'base64'),
    };
  }

  private ticket(workspace: string): CallerAnswer {
    const {ticket, expiresInMs} = this.options.keyed.mint(workspace);
    return json({ticket, expires_in_ms: expiresInMs});
  }
}

function toCall(raw: RawCall, workspace: string): CallerCall {
  const headers = Object.fromEntries(
    Object.entries(raw.headers).filter(
      ([name]) => name !== callerHeaders.authorization,
    ),
  );
  return {
    ...raw,
    headers,
    workspace,
    billId: raw.id,
    deadlineMs: deadlineOf(headers[callerHeaders.deadline]),
  };
}

function deadlineOf(text: string | undefined): number | undefined {
  if (text === undefined) return undefined;
  const ms = Number(text);
  if (Number.isInteger(ms) && ms > 0 && ms <= DEADLINE_MOST_MS) return ms;
  throw new Problem({
    kind: ProblemKind.BAD_REQUEST,
    what: 'Bayspool-Deadline-Ms is not a whole number of ms from 1 to 600000',
    remedy: 'correct the header or leave it out',
  });
}

function json(value: object): CallerAnswer {
  return {
    status: 200,
    headers: {'content-type': 'application/json'},
    body: Buffer.from(JSON.stringify(value)),
  };
}

function notReady(): Problem {
  return new Problem({
    kind: ProblemKind.NOT_READY,
    what: 'this host has no configuration yet',
    remedy: 'come back after the time in Retry-After',
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function draining(): Problem {
  return new Problem({
    kind: ProblemKind.DRAINING,
    what: 'this host is leaving and takes no new work',
    remedy: 'send the request again: the balancer passes it to another host',
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function badKey(): Problem {
  return new Problem({
    kind: ProblemKind.BAD_REQUEST,
    what: `Idempotency-Key is empty or longer than ${KEY_LENGTH_MOST} characters`,
    remedy: 'send a shorter key or a ticket',
  });
}
