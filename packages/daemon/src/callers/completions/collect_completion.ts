import {Outcome, RequestFailure, type Usage} from '@bayspool/decisions';
import {Problem, ProblemKind} from '@bayspool/kernel';
import type {StartedCompletion} from './started_completion.js';
import {formatUsage} from './format_usage.js';

/** Collects an answer into one OpenAI `chat.completion` object. */
export async function collectCompletion(
  requestId: string,
  open: StartedCompletion,
): Promise<Buffer> {
  let text = '';
  for await (const part of open.events) {
    if (part.kind === 'token') {
      text += part.text;
      continue;
    }
    return Buffer.from(
      JSON.stringify(
        createCompletionObject(
          requestId,
          open,
          text,
          part.finishReason,
          part.usage,
        ),
      ),
    );
  }
  throw new RequestFailure(createTruncatedProblem(), Outcome.UNKNOWN);
}

function createCompletionObject(
  id: string,
  open: StartedCompletion,
  content: string,
  finishReason: string,
  usage: Usage,
): object {
  return {
    id,
    object: 'chat.completion',
    created: open.createdAt,
    model: open.version.id,
    choices: [
      {
        index: 0,
        message: {role: 'assistant', content, refusal: null},
        logprobs: null,
        finish_reason: finishReason,
      },
    ],
    usage: formatUsage(usage),
  };
}

function createTruncatedProblem(): Problem {
  return new Problem({
    kind: ProblemKind.OUTCOME_UNKNOWN,
    what: 'the answer ended before it was whole',
    remedy: 'send the request again',
  });
}
