import {Outcome} from '@bayspool/decisions';
import type {CallResponse} from './call_response.js';
import {callerHeaders} from './caller_headers.js';
import {describeError} from './describe_error.js';
import {httpStatusByProblemKind} from './http_status_by_problem_kind.js';

const SECOND_MS = 1_000;

/**
 * Creates the response to a failed request. Clients that retry failed requests
 * by themselves are told not to, unless the request is known not to have run and
 * can be retried.
 */
export function createErrorResponse(
  error: unknown,
  requestId: string,
): CallResponse {
  const {problem, outcome, body} = describeError(error, requestId);
  const mayRetry =
    outcome === Outcome.NOT_RUN && problem.retryAfterMs !== undefined;
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    [callerHeaders.requestId]: requestId,
    [callerHeaders.outcome]: outcome,
    [callerHeaders.shouldRetry]: String(mayRetry),
  };
  if (mayRetry)
    headers[callerHeaders.retryAfter] = String(
      Math.max(1, Math.ceil(problem.retryAfterMs! / SECOND_MS)),
    );
  return {
    status: httpStatusByProblemKind[problem.kind],
    headers,
    body: Buffer.from(JSON.stringify(body)),
  };
}
