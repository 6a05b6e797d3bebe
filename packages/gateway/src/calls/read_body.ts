import type {IncomingMessage} from 'node:http';

/** Why a body could not be read. */
type BodyFailure = 'too-large' | 'broken' | 'late';

/** Reads a request's complete body, up to `maxBytes`; `signal` stops waiting for it. */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
  signal: AbortSignal,
): Promise<Buffer | BodyFailure> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) resolve('too-large');
      else chunks.push(chunk);
    });
    request.once('end', () => resolve(Buffer.concat(chunks)));
    request.once('close', () => resolve('broken'));
    request.once('error', () => resolve('broken'));
    signal.addEventListener('abort', () => resolve('late'), {once: true});
  });
}
