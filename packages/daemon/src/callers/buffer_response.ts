import type {CallResponse} from './call_response.js';
import type {StoredResponse} from './stored_response.js';

/** Buffers a response, so that it can be stored for its key or sent to another host. */
export async function bufferResponse(
  answer: CallResponse,
): Promise<StoredResponse> {
  const chunks: Buffer[] = [];
  if (Buffer.isBuffer(answer.body)) chunks.push(answer.body);
  else for await (const chunk of answer.body) chunks.push(Buffer.from(chunk));
  return {
    status: answer.status,
    headers: {...answer.headers},
    body: Buffer.concat(chunks).toString('base64'),
  };
}
