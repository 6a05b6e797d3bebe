import type {SessionAttempt} from './session_attempt.js';
import type {VersionChange} from './version_change.js';

/** Moves as text: the sums by cause, then each move with the two calls that show it. */
export function describeVersionChanges(
  moves: readonly VersionChange[],
): string {
  if (moves.length === 0) return 'no session changed its version';
  return [
    `${moves.length} calls ran on another version than the one before them in their session`,
    '',
    ...countCauses(moves),
    '',
    ...moves.flatMap(({before, after}) => [
      `session ${after.session}`,
      `  ${describeAttempt(before)}`,
      `  ${describeAttempt(after)}`,
    ]),
  ].join('\n');
}

function countCauses(moves: readonly VersionChange[]): string[] {
  const counts = new Map<string, number>();
  for (const move of moves) {
    const cause = describeCause(move);
    counts.set(cause, (counts.get(cause) ?? 0) + 1);
  }
  return [...counts].map(([cause, count]) => `${count}  ${cause}`);
}

function describeCause({before, after}: VersionChange): string {
  const hosts = before.host === after.host ? 'same host' : 'another host';
  return `${before.version} to ${after.version}, ${hosts}: ${after.reason}`;
}

function describeAttempt(run: SessionAttempt): string {
  const time = new Date(run.chosenMs).toISOString();
  const remembered = run.remembered ?? 'nothing';
  return `${time}  ${run.request} at ${run.host}: ${run.version}, ${run.reason}; remembered: ${remembered}`;
}
