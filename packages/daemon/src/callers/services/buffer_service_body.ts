import type {Readable} from 'node:stream';
import {BoundedBuffer} from '@bayspool/kernel';

/**
 * Buffers a body of up to `maxBytes`, so that a truncated response is detected before
 * any of it is forwarded. A longer body is streamed.
 */
export async function bufferServiceBody(
  body: Readable,
  maxBytes: number,
): Promise<Buffer | AsyncIterable<Buffer>> {
  // The size is checked before each chunk, so that the buffer bounds only the number of chunks.
  const buffer = new BoundedBuffer({maxBytes: Infinity});
  const iterator = body[Symbol.asyncIterator]();
  try {
    while (buffer.length <= maxBytes) {
      const {value, done} = await iterator.next();
      if (done) return buffer.take();
      buffer.append(value as Buffer);
    }
  } catch (error) {
    body.destroy();
    throw error;
  }
  return resumeBody(buffer.take(), iterator);
}

async function* resumeBody(
  start: Buffer,
  iterator: AsyncIterator<Buffer>,
): AsyncGenerator<Buffer> {
  try {
    yield start;
    for (
      let next = await iterator.next();
      !next.done;
      next = await iterator.next()
    )
      yield next.value;
  } finally {
    await iterator.return?.();
  }
}
