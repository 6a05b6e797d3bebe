import {Problem, ProblemKind, type Clock} from '@bayspool/kernel';
import type {ConfigurationStore} from '../configuration/configuration_store.js';
import type {CallResponse} from './call_response.js';
import type {AuthenticatedCall} from './authenticated_call.js';
import type {CompletionHandler} from './completions/completion_handler.js';
import type {ServiceCallHandler} from './services/service_call_handler.js';

interface Options {
  readonly clock: Clock;
  readonly store: ConfigurationStore;
  readonly completionHandler: CompletionHandler;
  readonly serviceHandler: ServiceCallHandler;
}

const COMPLETIONS_PATH = '/v1/chat/completions';
const SERVICES_PREFIX = '/services/';

/** Dispatches an authenticated call to the completion handler or the service handler. */
export class CallDispatcher {
  constructor(private readonly options: Options) {}

  async dispatch(call: AuthenticatedCall): Promise<CallResponse> {
    if (!this.options.store.current.workspaces[call.workspace])
      throw createWorkspaceRemovedProblem();
    if (isServiceCall(call)) return this.options.serviceHandler.handle(call);
    if (call.path.split('?')[0] !== COMPLETIONS_PATH)
      throw createNotFoundProblem(call.path);
    if (call.method !== 'POST')
      throw createNotFoundProblem(`${call.method} ${call.path}`);
    return this.options.completionHandler.handle(call);
  }

  /** Whether the call must run on a runner at most once. */
  isAtMostOnce(call: AuthenticatedCall): boolean {
    return (
      isServiceCall(call) && this.options.serviceHandler.isAtMostOnce(call)
    );
  }
}

function isServiceCall(call: AuthenticatedCall): boolean {
  return call.path.startsWith(SERVICES_PREFIX);
}

function createNotFoundProblem(path: string): Problem {
  return new Problem({
    kind: ProblemKind.NOT_FOUND,
    what: `there is nothing at ${path.slice(0, 100)}`,
    remedy:
      'use POST /v1/chat/completions, GET /v1/models, POST /v1/tickets or /services/<service>/<path>',
  });
}

function createWorkspaceRemovedProblem(): Problem {
  return new Problem({
    kind: ProblemKind.UNAUTHORIZED,
    what: 'the workspace is no longer configured',
    remedy: 'ask the operator',
  });
}
