import type {Readable} from 'node:stream';

/**
 * Buffers a body of up to `maxBytes`, so that a truncated response is detected before
 * any of it is forwarded. A longer body is streamed.
 */
export async function bufferServiceBody(
  body: Readable,
  maxBytes: number,
): Promise<Buffer | AsyncIterable<Buffer>> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  const iterator = body[Symbol.asyncIterator]();
  while (bytes <= maxBytes) {
    const {value, done} = await iterator.next();
    if (done) return Buffer.concat(chunks);
    chunks.push(value as Buffer);
    bytes += (value as Buffer).length;
  }
  return resumeBody(chunks, iterator);
}

async function* resumeBody(
  chunks: readonly Buffer[],
  iterator: AsyncIterator<Buffer>,
): AsyncGenerator<Buffer> {
  try {
    yield* chunks;
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
