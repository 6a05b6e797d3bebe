import type {CompletionEvent} from './completion_event.js';
import type {StartedCompletion} from './started_completion.js';
import {formatUsage} from './format_usage.js';

const END_OF_STREAM = 'data: [DONE]\n\n';

/** Formats a completion as the data lines of an OpenAI stream. Failures are thrown, so no `[DONE]` follows them. */
export async function* formatStreamChunks(
  requestId: string,
  started: StartedCompletion,
  includeUsage: boolean,
): AsyncGenerator<string> {
  const prefix = createChunkPrefix(requestId, started);
  let role = '"role":"assistant",';
  for await (const event of started.events) {
    if (event.kind === 'token') {
      yield `${prefix}"choices":[{"index":0,"delta":{${role}"content":${JSON.stringify(event.text)}},"finish_reason":null}]}\n\n`;
      role = '';
      continue;
    }
    yield formatFinalChunks(prefix, event, includeUsage);
    return;
  }
}

/** Creates the common start of all chunks; done once per completion, as every token gets a chunk. */
function createChunkPrefix(
  requestId: string,
  started: StartedCompletion,
): string {
  const common = JSON.stringify({
    id: requestId,
    object: 'chat.completion.chunk',
    created: started.createdAt,
    model: started.version.id,
  });
  return `data: ${common.slice(0, -1)},`;
}

function formatFinalChunks(
  prefix: string,
  event: Extract<CompletionEvent, {kind: 'final'}>,
  includeUsage: boolean,
): string {
  const reason = JSON.stringify(event.finishReason);
  const end = `${prefix}"choices":[{"index":0,"delta":{},"finish_reason":${reason}}]}\n\n`;
  const usage = includeUsage
    ? `${prefix}"choices":[],"usage":${JSON.stringify(formatUsage(event.usage))}}\n\n`
    : '';
  return end + usage + END_OF_STREAM;
}
