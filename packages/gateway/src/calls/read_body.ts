import type {IncomingMessage} from 'node:http';
import {ByteCollector} from '@bayspool/decisions/calls';
import {AbortReason} from './abort_reason.js';
import type {HeldAmount} from './held_amount.js';

/** Why a body could not be read. */
type BodyFailure = 'too-large' | 'broken' | 'late';

interface Options {
  readonly request: IncomingMessage;
  readonly maxBytes: number;
  /** Size of the body as declared, which is held already, in bytes; 0 if it is not known. */
  readonly declaredBytes: number;
  /** What this host holds of the body. */
  readonly held: HeldAmount;
  /** Stops waiting for the body. */
  readonly signal: AbortSignal;
}

/** Reads a request's complete body, up to a maximum size. */
export function readBody({
  request,
  maxBytes,
  declaredBytes,
  held,
  signal,
}: Options): Promise<Buffer | BodyFailure> {
  return new Promise(resolve => {
    const body = new ByteCollector();
    // A signal that is made of others keeps its listeners, and what they refer to, until they are removed.
    const settle = (result: Buffer | BodyFailure) => {
      signal.removeEventListener('abort', abort);
      resolve(result);
    };
    const collect = (chunk: Buffer) => {
      if (body.length + chunk.length > maxBytes) return fail('too-large');
      body.add(chunk);
      if (body.length <= declaredBytes) return;
      held.set(body.length);
      held.pauseNearBound(request);
    };
    // What still arrives of a body that is given up is not collected.
    const fail = (failure: BodyFailure) => {
      request.removeListener('data', collect);
      settle(failure);
    };
    request.on('data', collect);
    request.once('end', () => {
      held.stopGrowing();
      settle(body.take());
    });
    request.once('close', () => settle('broken'));
    request.once('error', () => settle('broken'));
    const abort = () => {
      const hasLeft = signal.reason === AbortReason.CALLER_DISCONNECTED;
      fail(hasLeft ? 'broken' : 'late');
    };
    if (signal.aborted) return abort();
    signal.addEventListener('abort', abort, {once: true});
  });
}
