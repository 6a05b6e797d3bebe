import {createHash} from 'node:crypto';
import {IdempotencyCache, Outcome, RequestFailure} from '@bayspool/decisions';
import {Problem, ProblemKind, type Clock} from '@bayspool/kernel';
import type {CallDispatcher} from '../call_dispatcher.js';
import type {CallerCall} from '../caller_call.js';
import {callerHeaders} from '../caller_headers.js';
import {errorAnswer} from '../error_answer.js';
import {storeAnswer} from '../store_answer.js';
import type {StoredAnswer} from '../stored_answer.js';

interface Options {
  readonly clock: Clock;
  readonly dispatcher: CallDispatcher;
  /** How long an answer is kept, in ms. */
  readonly keepMs: number;
  /** Bytes that kept answers may hold together. */
  readonly bytesMost: number;
}

/** Runs each keyed call once at this process and remembers what came of it. */
export class AnswerHome {
  readonly memory: IdempotencyCache<StoredAnswer>;

  constructor(private readonly options: Options) {
    const {clock, keepMs, bytesMost} = options;
    this.memory = new IdempotencyCache({
      clock,
      retentionMs: keepMs,
      maxBytes: bytesMost,
      measureBytes: answer => answer.body.length,
    });
  }

  async answer(key: string, call: CallerCall): Promise<StoredAnswer> {
    const started = this.memory.runOnce(key, fingerprintOf(call), () =>
      this.run(call),
    );
    const answer = await started.caseOf({
      Left: refusal => {
        throw refusalFailure(refusal);
      },
      Right: promise => promise,
    });
    if (answer.headers[callerHeaders.outcome] === Outcome.NOT_RUN)
      this.memory.release(key);
    return answer;
  }

  private async run(call: CallerCall): Promise<StoredAnswer> {
    try {
      return await storeAnswer(await this.options.dispatcher.dispatch(call));
    } catch (error) {
      return storeAnswer(errorAnswer(error, call.id));
    }
  }
}

/** Two calls are the same request when method, path, task and body are. */
function fingerprintOf(call: CallerCall): string {
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

function refusalFailure(
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
