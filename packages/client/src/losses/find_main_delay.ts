import type {LogLine} from '../explain/log_line.js';

/** What can make an answer late. */
const DelayCause = {
  WAITING: 'waiting at the runner',
  PREFILL: 'reading the prompt',
  SECOND_MODEL: 'a second model',
  RETRY: 'a retry',
} as const;

/** Returns the cause that took most of the time of a late answer. */
export function findMainDelay(lines: readonly LogLine[]): string {
  const msByCause = new Map<string, number>();
  const add = (cause: string, ms: number) =>
    msByCause.set(cause, (msByCause.get(cause) ?? 0) + ms);
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
  const [largest] = [...msByCause].sort(([, a], [, b]) => b - a);
  return largest?.[0] ?? DelayCause.WAITING;
}

function addFinalAttempt(
  add: (cause: string, ms: number) => void,
  tookMs: number,
  workMs: number,
): void {
  const prefillMs = Math.min(tookMs, workMs);
  add(DelayCause.PREFILL, prefillMs);
  add(DelayCause.WAITING, tookMs - prefillMs);
}
