import type {SessionAttempt} from './session_attempt.js';
import type {VersionChange} from './version_change.js';

/** Formats version changes as text: the count of each cause, then each change with its two calls. */
export function describeVersionChanges(
  changes: readonly VersionChange[],
): string {
  if (changes.length === 0) return 'no session changed its version';
  return [
    `${changes.length} calls ran on another version than the one before them in their session`,
    '',
    ...countCauses(changes),
    '',
    ...changes.flatMap(({before, after}) => [
      `session ${after.session}`,
      `  ${describeAttempt(before)}`,
      `  ${describeAttempt(after)}`,
    ]),
  ].join('\n');
}

function countCauses(changes: readonly VersionChange[]): string[] {
  const counts = new Map<string, number>();
  for (const change of changes) {
    const cause = describeCause(change);
    counts.set(cause, (counts.get(cause) ?? 0) + 1);
  }
  return [...counts].map(([cause, count]) => `${count}  ${cause}`);
}

function describeCause({before, after}: VersionChange): string {
  const hosts = before.host === after.host ? 'same host' : 'another host';
  return `${before.version} to ${after.version}, ${hosts}: ${after.reason}`;
}

function describeAttempt(attempt: SessionAttempt): string {
  const time = new Date(attempt.chosenMs).toISOString();
  const remembered = attempt.remembered ?? 'nothing';
  return `${time}  ${attempt.request} at ${attempt.host}: ${attempt.version}, ${attempt.reason}; remembered: ${remembered}`;
}
