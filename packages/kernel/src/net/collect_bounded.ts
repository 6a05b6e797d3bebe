import {BoundedBuffer} from './bounded_buffer.js';

/** Reads a message to its end; rejects with SizeExceeded, and reads no more of it, if it has more bytes than `maxBytes`. */
export async function collectBounded(
  source: AsyncIterable<Uint8Array>,
  maxBytes: number,
): Promise<Buffer> {
  const buffer = new BoundedBuffer({maxBytes});
  // Leaving the loop closes the source.
  for await (const chunk of source) buffer.append(chunk);
  return buffer.take();
}
