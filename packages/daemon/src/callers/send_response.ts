import type {ServerResponse} from 'node:http';
import type {CallResponse} from './call_response.js';
import {describeError} from './describe_error.js';

/**
 * Writes a response with backpressure. An event stream that fails ends with an
 * error event and without `[DONE]`; any other body is aborted. Returns whether
 * the complete response was written.
 */
export async function sendResponse(
  response: ServerResponse,
  answer: CallResponse,
  requestId = '',
): Promise<boolean> {
  if (response.destroyed) {
    await discardBody(answer);
    return false;
  }
  if (Buffer.isBuffer(answer.body)) {
    response.writeHead(answer.status, {
      ...answer.headers,
      'content-length': answer.body.length,
    });
    response.end(answer.body);
    return true;
  }
  response.writeHead(answer.status, answer.headers);
  try {
    for await (const piece of answer.body) {
      if (response.destroyed) return false;
      if (!response.write(piece)) await waitForDrain(response);
    }
    response.end();
    return !response.destroyed;
  } catch (error) {
    endAfterFailure(response, answer, error, requestId);
    return false;
  }
}

function endAfterFailure(
  response: ServerResponse,
  answer: CallResponse,
  error: unknown,
  requestId: string,
): void {
  const isEventStream = String(answer.headers['content-type']).startsWith(
    'text/event-stream',
  );
  if (!isEventStream) {
    response.destroy();
    return;
  }
  response.end(
    `event: error\ndata: ${JSON.stringify(describeError(error, requestId).body)}\n\n`,
  );
}

/** Closes a body that nobody reads, so that its producer can clean up. */
async function discardBody(answer: CallResponse): Promise<void> {
  if (!Buffer.isBuffer(answer.body))
    await answer.body[Symbol.asyncIterator]().return?.();
}

function waitForDrain(response: ServerResponse): Promise<void> {
  return new Promise(resolve => {
    response.once('drain', resolve);
    response.once('close', resolve);
  });
}
