import type {LogLine} from '../explain/log_line.js';

/** Why a late answer was late: the cause that took most of the time. */
const DelayCause = {
  WAITING: 'waiting at the runner',
  PREFILL: 'reading the prompt',
  SECOND_MODEL: 'a second model',
  RETRY: 'a retry',
} as const;

/** Names what took most of the time of an answer that came late. */
export function findMainDelay(lines: readonly LogLine[]): string {
  const spent = new Map<string, number>();
  const add = (cause: string, ms: number) =>
    spent.set(cause, (spent.get(cause) ?? 0) + ms);
  for (const line of lines) {
    if (line.event !== 'attempt_ended') continue;
    const chosen = lines.find(
      ({event, attempt}) =>
        event === 'runner_chosen' && attempt === line.attempt,
    );
    const tookMs = Number(line.firstMs ?? line.forMs ?? 0);
    if (line.outcome === 'weak') add(DelayCause.SECOND_MODEL, tookMs);
    else if (line.outcome === 'answered')
      addFinalAttempt(add, tookMs, Number(chosen?.workMs ?? 0));
    else add(DelayCause.RETRY, tookMs);
  }
  const [most] = [...spent].sort(([, a], [, b]) => b - a);
  return most?.[0] ?? DelayCause.WAITING;
}

function addFinalAttempt(
  add: (cause: string, ms: number) => void,
  tookMs: number,
  workMs: number,
): void {
  const readingMs = Math.min(tookMs, workMs);
  add(DelayCause.PREFILL, readingMs);
  add(DelayCause.WAITING, tookMs - readingMs);
}
