import {
  Outcome,
  renderPromptText,
  type SessionSealer,
  type Workspace,
} from '@bayspool/decisions';
import {Problem, ProblemKind, type Clock} from '@bayspool/kernel';
import type {z} from 'zod';
import type {ConfigurationStore} from '../../configuration/configuration_store.js';
import type {CallerAnswer} from '../caller_answer.js';
import type {CallerCall} from '../caller_call.js';
import {callerHeaders} from '../caller_headers.js';
import {parseJsonBody} from '../parse_json_body.js';
import {completionBody} from './completion_body.js';
import type {CompletionRequest} from './completion_request.js';
import type {CompletionService} from './completion_service.js';
import type {OpenCompletion} from './open_completion.js';
import {streamChunks} from './stream_chunks.js';
import {wholeAnswer} from './whole_answer.js';

interface Options {
  readonly clock: Clock;
  readonly store: ConfigurationStore;
  readonly sessions: SessionSealer;
  readonly service: CompletionService;
}

type Body = z.output<typeof completionBody>;

const DEFAULT_TASK = 'default';

/** `POST /v1/chat/completions`. */
export class CompletionHandler {
  constructor(private readonly options: Options) {}

  async handle(call: CallerCall): Promise<CallerAnswer> {
    const body = parseJsonBody(call.body, completionBody);
    const request = this.toRequest(call, body);
    const open = await this.options.service.open(request);
    const headers = headersOf(call, open);
    if (!request.stream) {
      const answer = await wholeAnswer(call.id, open);
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
      body: streamChunks(call.id, open, includeUsage),
    };
  }

  private toRequest(call: CallerCall, body: Body): CompletionRequest {
    const {store, clock} = this.options;
    const workspace = store.current.workspaces[call.workspace];
    const taskName = call.headers[callerHeaders.task] ?? DEFAULT_TASK;
    const task = Object.hasOwn(workspace.tasks, taskName)
      ? workspace.tasks[taskName]
      : undefined;
    if (!task) throw unknownTask(workspace, taskName);
    return {
      id: call.id,
      billId: call.billId,
      workspace,
      taskName,
      task,
      priority: task.priority,
      selector: body.model,
      session: this.sessionOf(call),
      body,
      prompt: renderPromptText(body),
      stream: body.stream ?? false,
      deadlineAt: clock.now() + (call.deadlineMs ?? task.deadlineMs),
      signal: call.signal,
      trace: call.trace,
    };
  }

  private sessionOf(call: CallerCall): CompletionRequest['session'] {
    const text = call.headers[callerHeaders.session];
    if (text === undefined) return undefined;
    return this.options.sessions.open(text, call.workspace).caseOf({
      Left: problem => {
        throw problem;
      },
      Right: session => session,
    });
  }
}

function headersOf(
  call: CallerCall,
  open: OpenCompletion,
): Record<string, string> {
  return {
    [callerHeaders.requestId]: call.id,
    [callerHeaders.outcome]: Outcome.RAN,
    [callerHeaders.version]: open.version.id,
    [callerHeaders.session]: open.session,
  };
}

function unknownTask(workspace: Workspace, task: string): Problem {
  return new Problem({
    kind: ProblemKind.BAD_REQUEST,
    what: `this workspace has no task ${JSON.stringify(task)}`,
    remedy: `send Bayspool-Task with one of ${Object.keys(workspace.tasks).join(', ')}`,
  });
}
