import {Outcome, RequestFailure, type Usage} from '@bayspool/decisions';
import {Problem, ProblemKind} from '@bayspool/kernel';
import type {StartedCompletion} from './started_completion.js';
import {formatUsage} from './format_usage.js';

/** Collects a completion into one OpenAI `chat.completion` object. */
export async function collectCompletion(
  requestId: string,
  started: StartedCompletion,
): Promise<Buffer> {
  let text = '';
  for await (const event of started.events) {
    if (event.kind === 'token') {
      text += event.text;
      continue;
    }
    return Buffer.from(
      JSON.stringify(
        createCompletionObject(
          requestId,
          started,
          text,
          event.finishReason,
          event.usage,
        ),
      ),
    );
  }
  throw new RequestFailure(createTruncatedProblem(), Outcome.UNKNOWN);
}

function createCompletionObject(
  id: string,
  started: StartedCompletion,
  content: string,
  finishReason: string,
  usage: Usage,
): object {
  return {
    id,
    object: 'chat.completion',
    created: started.createdAt,
    model: started.version.id,
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
