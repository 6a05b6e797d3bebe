import {
  Outcome,
  renderPromptText,
  type SessionSealer,
  type Workspace,
} from '@bayspool/decisions';
import {Problem, ProblemKind, type Clock} from '@bayspool/kernel';
import type {z} from 'zod';
import type {ConfigurationStore} from '../../configuration/configuration_store.js';
import type {CallResponse} from '../call_response.js';
import type {AuthenticatedCall} from '../authenticated_call.js';
import {callerHeaders} from '../caller_headers.js';
import {parseJsonBody} from '../parse_json_body.js';
import {completionBody} from './completion_body.js';
import type {CompletionRequest} from './completion_request.js';
import type {CompletionService} from './completion_service.js';
import type {StartedCompletion} from './started_completion.js';
import {formatStreamChunks} from './format_stream_chunks.js';
import {collectCompletion} from './collect_completion.js';

interface Options {
  readonly clock: Clock;
  readonly store: ConfigurationStore;
  readonly sessionSealer: SessionSealer;
  readonly completionService: CompletionService;
}

type CompletionBody = z.output<typeof completionBody>;

const DEFAULT_TASK = 'default';

/** Handles `POST /v1/chat/completions`. */
export class CompletionHandler {
  constructor(private readonly options: Options) {}

  async handle(call: AuthenticatedCall): Promise<CallResponse> {
    const body = parseJsonBody(call.body, completionBody);
    const request = this.createRequest(call, body);
    const started = await this.options.completionService.start(request);
    const headers = createHeaders(call, started);
    if (!request.stream) {
      const answer = await collectCompletion(call.id, started);
      return {
        status: 200,
        headers: {...headers, 'content-type': 'application/json'},
        body: answer,
      };
    }
    const includeUsage = body.stream_options?.include_usage ?? false;
    return {
      status: 200,
      headers: {
        ...headers,
        'content-type': 'text/event-stream; charset=utf-8',
        'cache-control': 'no-cache',
      },
      body: formatStreamChunks(call.id, started, includeUsage),
    };
  }

  private createRequest(
    call: AuthenticatedCall,
    body: CompletionBody,
  ): CompletionRequest {
    const {store, clock} = this.options;
    const workspace = store.current.workspaces[call.workspace];
    const taskName = call.headers[callerHeaders.task] ?? DEFAULT_TASK;
    const task = Object.hasOwn(workspace.tasks, taskName)
      ? workspace.tasks[taskName]
      : undefined;
    if (!task) throw createUnknownTaskProblem(workspace, taskName);
    return {
      id: call.id,
      billId: call.billId,
      workspace,
      taskName,
      task,
      priority: task.priority,
      selector: body.model,
      session: this.openSession(call),
      body,
      prompt: renderPromptText(body),
      stream: body.stream ?? false,
      deadlineAt: clock.now() + (call.deadlineMs ?? task.deadlineMs),
      signal: call.signal,
      trace: call.trace,
    };
  }

  private openSession(call: AuthenticatedCall): CompletionRequest['session'] {
    const text = call.headers[callerHeaders.session];
    if (text === undefined) return undefined;
    return this.options.sessionSealer.open(text, call.workspace).caseOf({
      Left: problem => {
        throw problem;
      },
      Right: session => session,
    });
  }
}

function createHeaders(
  call: AuthenticatedCall,
  started: StartedCompletion,
): Record<string, string> {
  return {
    [callerHeaders.requestId]: call.id,
    [callerHeaders.outcome]: Outcome.RAN,
    [callerHeaders.version]: started.version.id,
    [callerHeaders.session]: started.sealedSession,
  };
}

function createUnknownTaskProblem(workspace: Workspace, task: string): Problem {
  return new Problem({
    kind: ProblemKind.BAD_REQUEST,
    what: `this workspace has no task ${JSON.stringify(task)}`,
    remedy: `send Bayspool-Task with one of ${Object.keys(workspace.tasks).join(', ')}`,
  });
}
