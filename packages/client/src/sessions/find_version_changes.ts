import type {SessionAttempt} from './session_attempt.js';
import type {VersionChange} from './version_change.js';

interface Options {
  readonly attempts: readonly SessionAttempt[];
  /** Longest time between two calls that still belong to one session, in ms. */
  readonly gapMs: number;
}

/**
 * Finds calls whose last attempt ran on another version than the preceding attempt of another call of the session.
 * Calls of a session may overlap: a call that began earlier may have the later attempt, after its stream broke.
 */
export function findVersionChanges({
  attempts,
  gapMs,
}: Options): VersionChange[] {
  const ordered = [...attempts].sort((a, b) => a.chosenMs - b.chosenMs);
  return [...groupBySession(ordered)].flatMap(session =>
    findSessionChanges(session, gapMs),
  );
}

function groupBySession(
  attempts: readonly SessionAttempt[],
): IterableIterator<SessionAttempt[]> {
  const sessions = new Map<string, SessionAttempt[]>();
  for (const attempt of attempts) {
    const key = `${attempt.service}|${attempt.session}`;
    const group = sessions.get(key);
    if (group) group.push(attempt);
    else sessions.set(key, [attempt]);
  }
  return sessions.values();
}

/**
 * Finds the version changes of one session.
 *
 * @param attempts ordered by the time of choice
 */
function findSessionChanges(
  attempts: readonly SessionAttempt[],
  gapMs: number,
): VersionChange[] {
  const lastAttemptByRequest = new Map(
    attempts.map(attempt => [attempt.request, attempt]),
  );
  const changes: VersionChange[] = [];
  attempts.forEach((after, index) => {
    if (lastAttemptByRequest.get(after.request) !== after) return;
    const before = attempts
      .slice(0, index)
      .findLast(({request}) => request !== after.request);
    if (!before || before.version === after.version) return;
    if (after.acceptedMs - before.chosenMs <= gapMs)
      changes.push({before, after});
  });
  return changes;
}
