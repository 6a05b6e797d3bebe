import type {SessionAttempt} from './session_attempt.js';
import type {VersionChange} from './version_change.js';

interface Options {
  readonly runs: readonly SessionAttempt[];
  /** Longest time between two calls that still belong to one session, in ms. */
  readonly gapMs: number;
}

/**
 * Finds calls whose last runner had another version than the runner that was chosen before it for another call of
 * the session. Calls of a session may overlap, so one that began earlier may be the later one: its stream broke off.
 */
export function findVersionChanges({runs, gapMs}: Options): VersionChange[] {
  const ordered = [...runs].sort((a, b) => a.chosenMs - b.chosenMs);
  return [...groupBySession(ordered)].flatMap(session =>
    findSessionChanges(session, gapMs),
  );
}

function groupBySession(
  runs: readonly SessionAttempt[],
): IterableIterator<SessionAttempt[]> {
  const sessions = new Map<string, SessionAttempt[]>();
  for (const run of runs) {
    const key = `${run.service}|${run.session}`;
    const known = sessions.get(key);
    if (known) known.push(run);
    else sessions.set(key, [run]);
  }
  return sessions.values();
}

/** The moves of one session, whose runs stand in the order in which they were chosen. */
function findSessionChanges(
  runs: readonly SessionAttempt[],
  gapMs: number,
): VersionChange[] {
  const lastOf = new Map(runs.map(run => [run.request, run]));
  const moves: VersionChange[] = [];
  runs.forEach((after, index) => {
    if (lastOf.get(after.request) !== after) return;
    const before = runs
      .slice(0, index)
      .findLast(({request}) => request !== after.request);
    if (!before || before.version === after.version) return;
    if (after.acceptedMs - before.chosenMs <= gapMs)
      moves.push({before, after});
  });
  return moves;
}
