import type {CompletionEvent} from './completion_event.js';
import type {StartedCompletion} from './started_completion.js';
import {formatUsage} from './format_usage.js';

const END_OF_STREAM = 'data: [DONE]\n\n';

/** Turns an answer into the data lines of an OpenAI stream. A failure is thrown, so no `[DONE]` follows it. */
export async function* formatStreamChunks(
  requestId: string,
  open: StartedCompletion,
  includeUsage: boolean,
): AsyncGenerator<string> {
  const head = createChunkPrefix(requestId, open);
  let role = '"role":"assistant",';
  for await (const part of open.events) {
    if (part.kind === 'token') {
      yield `${head}"choices":[{"index":0,"delta":{${role}"content":${JSON.stringify(part.text)}},"finish_reason":null}]}\n\n`;
      role = '';
      continue;
    }
    yield formatFinalChunks(head, part, includeUsage);
    return;
  }
}

/** What every line begins with; made once an answer, since a line is written for each token. */
function createChunkPrefix(requestId: string, open: StartedCompletion): string {
  const common = JSON.stringify({
    id: requestId,
    object: 'chat.completion.chunk',
    created: open.createdAt,
    model: open.version.id,
  });
  return `data: ${common.slice(0, -1)},`;
}

function formatFinalChunks(
  head: string,
  part: Extract<CompletionEvent, {kind: 'final'}>,
  includeUsage: boolean,
): string {
  const reason = JSON.stringify(part.finishReason);
  const end = `${head}"choices":[{"index":0,"delta":{},"finish_reason":${reason}}]}\n\n`;
  const usage = includeUsage
    ? `${head}"choices":[],"usage":${JSON.stringify(formatUsage(part.usage))}}\n\n`
    : '';
  return end + usage + END_OF_STREAM;
}
