import type {Readable} from 'node:stream';

/**
 * Collects a body up to `most` bytes, so that a cut answer is noticed before any of
 * it is passed on. A longer one is passed on as it comes.
 */
export async function bufferServiceBody(
  body: Readable,
  most: number,
): Promise<Buffer | AsyncIterable<Buffer>> {
  const pieces: Buffer[] = [];
  let bytes = 0;
  const iterator = body[Symbol.asyncIterator]();
  while (bytes <= most) {
    const {value, done} = await iterator.next();
    if (done) return Buffer.concat(pieces);
    pieces.push(value as Buffer);
    bytes += (value as Buffer).length;
  }
  return resumeBody(pieces, iterator);
}

async function* resumeBody(
  pieces: readonly Buffer[],
  iterator: AsyncIterator<Buffer>,
): AsyncGenerator<Buffer> {
  try {
    yield* pieces;
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
