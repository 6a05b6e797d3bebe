import {createHash} from 'node:crypto';
import {IdempotencyCache, Outcome, RequestFailure} from '@bayspool/decisions';
import {Problem, ProblemKind, type Clock} from '@bayspool/kernel';
import type {CallDispatcher} from '../call_dispatcher.js';
import type {AuthenticatedCall} from '../authenticated_call.js';
import {callerHeaders} from '../caller_headers.js';
import {createErrorResponse} from '../create_error_response.js';
import {bufferResponse} from '../buffer_response.js';
import type {StoredResponse} from '../stored_response.js';

interface Options {
  readonly clock: Clock;
  readonly dispatcher: CallDispatcher;
  /** How long a response is kept, in ms. */
  readonly retentionMs: number;
  /** The total size of the responses that are kept, in bytes. */
  readonly maxCacheBytes: number;
}

/** Runs each keyed call once in this process and caches its response. */
export class KeyedCallRunner {
  readonly cache: IdempotencyCache<StoredResponse>;

  constructor(private readonly options: Options) {
    const {clock, retentionMs, maxCacheBytes} = options;
    this.cache = new IdempotencyCache({
      clock,
      retentionMs,
      maxBytes: maxCacheBytes,
      measureBytes: response => response.body.length,
    });
  }

  async runOnce(key: string, call: AuthenticatedCall): Promise<StoredResponse> {
    const started = this.cache.runOnce(key, fingerprintCall(call), () =>
      this.dispatch(call),
    );
    const response = await started.caseOf({
      Left: refusal => {
        throw createRefusalFailure(refusal);
      },
      Right: promise => promise,
    });
    if (response.headers[callerHeaders.outcome] === Outcome.NOT_RUN)
      this.cache.release(key);
    return response;
  }

  private async dispatch(call: AuthenticatedCall): Promise<StoredResponse> {
    try {
      return await bufferResponse(await this.options.dispatcher.dispatch(call));
    } catch (error) {
      return bufferResponse(createErrorResponse(error, call.id));
    }
  }
}

/** Calls of a workspace count as the same request when method, path, task and body are equal. */
function fingerprintCall(call: AuthenticatedCall): string {
  const head = [
    call.workspace,
    call.method,
    call.path,
    call.headers[callerHeaders.task] ?? '',
  ];
  return createHash('sha256')
    .update(head.join('\n'))
    .update('\n')
    .update(call.body)
    .digest('hex');
}

function createRefusalFailure(
  refusal: 'other request' | 'forgotten' | 'full',
): RequestFailure | Problem {
  if (refusal === 'other request') {
    return new Problem({
      kind: ProblemKind.KEY_REUSED,
      what: 'the key was used with another request',
      remedy: 'use a new key for a new request',
    });
  }
  const problem = new Problem({
    kind: ProblemKind.OUTCOME_UNKNOWN,
    what: 'the key was used before and its answer is no longer kept',
    remedy:
      'find out at the service whether it ran before sending it again with a new key',
  });
  return new RequestFailure(problem, Outcome.UNKNOWN);
}
