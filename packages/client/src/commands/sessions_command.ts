import {ClientFailure} from '../client_failure.js';
import type {Command} from '../command.js';
import {ExitCode} from '../exit_code.js';
import type {LogLine} from '../explain/log_line.js';
import {readLogLines} from '../explain/read_log_lines.js';
import {describeVersionChanges} from '../sessions/describe_version_changes.js';
import {findVersionChanges} from '../sessions/find_version_changes.js';
import {readSessionAttempts} from '../sessions/read_session_attempts.js';

/** Longest gap between two calls of a session, in seconds; the value that the users' deployments set. */
const DEFAULT_GAP_S = 5;
const MS_PER_SECOND = 1_000;

/** `bayspool sessions`. */
export const sessionsCommand: Command = {
  name: 'sessions',
  summary: 'find sessions that changed the version, across hosts, and why',
  help: `
  Usage
    bayspool sessions [FILE ...]
    cat host-*.log | bayspool sessions

  Follows each session through the log lines of all hosts and prints the calls that ran on another
  version than the call before them, ${DEFAULT_GAP_S} seconds earlier at most. Give the logs of all hosts; detail is
  sampled under load, so look for lines_dropped before you compare counts.

  Options
    --json   the moves as JSON
`,
  async run({args, flags, print}) {
    const lines: LogLine[] = [];
    for await (const line of readLogLines(args)) lines.push(line);
    const attempts = readSessionAttempts(lines);
    if (attempts.length === 0)
      throw new ClientFailure(
        'no call of a session in these lines; give the logs of hosts that took requests with sessions',
        ExitCode.UNKNOWN,
      );
    const changes = findVersionChanges({
      attempts,
      gapMs: DEFAULT_GAP_S * MS_PER_SECOND,
    });
    print(
      flags.json
        ? JSON.stringify(changes, null, 2)
        : describeVersionChanges(changes),
    );
    return ExitCode.OK;
  },
};
