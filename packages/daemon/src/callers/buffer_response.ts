import type {CallResponse} from './call_response.js';
import type {StoredResponse} from './stored_response.js';

/** Collects an answer, so that it can be kept for its key or sent to another host. */
export async function bufferResponse(
  answer: CallResponse,
): Promise<StoredResponse> {
  const pieces: Buffer[] = [];
  if (Buffer.isBuffer(answer.body)) pieces.push(answer.body);
  else for await (const piece of answer.body) pieces.push(Buffer.from(piece));
  return {
    status: answer.status,
    headers: {...answer.headers},
    body: Buffer.concat(pieces).toString('base64'),
  };
}
