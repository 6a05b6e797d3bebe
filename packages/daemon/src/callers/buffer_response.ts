import {collectBounded} from '@bayspool/kernel';
import type {CallResponse} from './call_response.js';
import type {StoredResponse} from './stored_response.js';

/** Maximum size of a body that is stored or sent to another host, in bytes: in base64 it fits in a message of 16 MiB. */
const MAX_BODY_BYTES = 12_582_912;

/** Buffers a response, so that it can be stored for its key or sent to another host. */
export async function bufferResponse(
  answer: CallResponse,
): Promise<StoredResponse> {
  const body = await collectBody(answer);
  return {
    status: answer.status,
    headers: {...answer.headers},
    body: body.toString('base64'),
  };
}

function collectBody({body}: CallResponse): Promise<Buffer> | Buffer {
  if (Buffer.isBuffer(body)) return body;
  return collectBounded(toBytes(body), MAX_BODY_BYTES);
}

async function* toBytes(
  pieces: AsyncIterable<string | Buffer>,
): AsyncGenerator<Buffer> {
  for await (const piece of pieces) yield Buffer.from(piece);
}
