import type {SessionRun} from './session_run.js';
import type {VersionMove} from './version_move.js';

interface Options {
  readonly runs: readonly SessionRun[];
  /** Longest time between two calls that still belong to one session, in ms. */
  readonly gapMs: number;
}

/** Finds calls that ran on another version than the call before them in their session. */
export function findMoves({runs, gapMs}: Options): VersionMove[] {
  const ordered = [...runs].sort((a, b) => a.acceptedMs - b.acceptedMs);
  const last = new Map<string, SessionRun>();
  const moves: VersionMove[] = [];
  for (const after of ordered) {
    const key = `${after.service}|${after.session}`;
    const before = last.get(key);
    last.set(key, after);
    if (!before || before.version === after.version) continue;
    if (after.acceptedMs - before.chosenMs <= gapMs)
      moves.push({before, after});
  }
  return moves;
}
