import {Problem, ProblemKind} from '@bayspool/kernel';
import type {ConfigurationStore} from '../configuration/configuration_store.js';
import type {LeavingState} from '../leaving/leaving_state.js';
import type {WorkspaceRateLimiter} from '../limits/workspace_rate_limiter.js';
import {authenticateCaller} from './authenticate_caller.js';
import type {CallDispatcher} from './call_dispatcher.js';
import type {CallResponse} from './call_response.js';
import type {AuthenticatedCall} from './authenticated_call.js';
import {callerHeaders} from './caller_headers.js';
import {createModelsList} from './create_models_list.js';
import type {RawCall} from './raw_call.js';
import type {KeyedCallRouter} from './tickets/keyed_call_router.js';

interface Options {
  readonly store: ConfigurationStore;
  readonly leaving: LeavingState;
  readonly rateLimiter: WorkspaceRateLimiter;
  readonly dispatcher: CallDispatcher;
  readonly keyedCallRouter: KeyedCallRouter;
}

const MAX_DEADLINE_MS = 600_000;
const MAX_KEY_LENGTH = 1_024;
const RETRY_AFTER_MS = 1_000;

/** Admits requests: checks that this host accepts work, the caller's API key, its rate limit and its idempotency key. Independent of the HTTP server. */
export class AdmissionController {
  constructor(private readonly options: Options) {}

  /** Handles a request; throws the problem to report to the caller. */
  async handle(raw: RawCall): Promise<CallResponse> {
    const {store, leaving, rateLimiter} = this.options;
    if (!store.isReady) throw createNotReadyProblem();
    if (leaving.rejectsNewWork()) throw createDrainingProblem();
    const workspace = authenticateCaller(
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
      return createJsonResponse(createModelsList(store.current, workspace.id));
    const rateLimited = rateLimiter.admit(workspace.id);
    if (rateLimited) throw rateLimited;
    if (path === '/v1/tickets' && raw.method === 'POST')
      return this.issueTicket(workspace.id);
    const call = createCall(raw, workspace.id);
    const key = call.headers[callerHeaders.idempotencyKey];
    if (key === undefined) return this.options.dispatcher.dispatch(call);
    if (key.length > MAX_KEY_LENGTH || key.length === 0)
      throw createInvalidKeyProblem();
    const stored = await this.options.keyedCallRouter.handle(key, call);
    return {
      status: stored.status,
      headers: stored.headers,
      body: Buffer.from(stored.body, 'base64'),
    };
  }

  private issueTicket(workspace: string): CallResponse {
    const {ticket, expiresInMs} =
      this.options.keyedCallRouter.issueTicket(workspace);
    return createJsonResponse({ticket, expires_in_ms: expiresInMs});
  }
}

function createCall(raw: RawCall, workspace: string): AuthenticatedCall {
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
    deadlineMs: parseDeadlineMs(headers[callerHeaders.deadline]),
  };
}

function parseDeadlineMs(text: string | undefined): number | undefined {
  if (text === undefined) return undefined;
  const ms = Number(text);
  if (Number.isInteger(ms) && ms > 0 && ms <= MAX_DEADLINE_MS) return ms;
  throw new Problem({
    kind: ProblemKind.BAD_REQUEST,
    what: 'Bayspool-Deadline-Ms is not a whole number of ms from 1 to 600000',
    remedy: 'correct the header or leave it out',
  });
}

function createJsonResponse(value: object): CallResponse {
  return {
    status: 200,
    headers: {'content-type': 'application/json'},
    body: Buffer.from(JSON.stringify(value)),
  };
}

function createNotReadyProblem(): Problem {
  return new Problem({
    kind: ProblemKind.NOT_READY,
    what: 'this host has no configuration yet',
    remedy: 'come back after the time in Retry-After',
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function createDrainingProblem(): Problem {
  return new Problem({
    kind: ProblemKind.DRAINING,
    what: 'this host is leaving and takes no new work',
    remedy: 'send the request again: the balancer passes it to another host',
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function createInvalidKeyProblem(): Problem {
  return new Problem({
    kind: ProblemKind.BAD_REQUEST,
    what: `Idempotency-Key is empty or longer than ${MAX_KEY_LENGTH} characters`,
    remedy: 'send a shorter key or a ticket',
  });
}
