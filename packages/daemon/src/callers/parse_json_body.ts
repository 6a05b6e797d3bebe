import {Problem, ProblemKind} from '@bayspool/kernel';
import {z} from 'zod';

/** Parses and validates a JSON body; throws a problem that names the first invalid field. */
export function parseJsonBody<T>(body: Buffer, schema: z.ZodType<T>): T {
  const parsed = schema.safeParse(parseJson(body));
  if (parsed.success) return parsed.data;
  const [issue] = parsed.error.issues;
  const field = issue.path.join('.') || 'the body';
  throw new Problem({
    kind: ProblemKind.BAD_REQUEST,
    what: `${field}: ${issue.message}`,
    remedy: 'correct the body and send it again',
  });
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    throw new Problem({
      kind: ProblemKind.BAD_REQUEST,
      what: 'the body is not JSON',
      remedy: 'send a JSON object with content-type application/json',
    });
  }
}
