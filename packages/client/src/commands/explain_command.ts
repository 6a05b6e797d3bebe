import {ClientFailure} from '../client_failure.js';
import type {Command} from '../command.js';
import {ExitCode} from '../exit_code.js';
import {describeTimeline} from '../explain/describe_timeline.js';
import type {LogLine} from '../explain/log_line.js';
import {readLogLines} from '../explain/read_log_lines.js';
import {buildTimeline} from '../explain/build_timeline.js';

/** `bayspool explain`. */
export const explainCommand: Command = {
  name: 'explain',
  summary: "print a request's story from the log lines of hosts",
  help: `
  Usage
    bayspool explain ID [FILE ...]
    cat host-*.log | bayspool explain ID

  Prints what held at the host when the request began, each decision about it, and what changed
  meanwhile. Give the logs of all hosts that may have taken it: callers that come back with the same
  work use a new id.

  Options
    --json   the story as JSON
`,
  async run({args, flags, print}) {
    const [request, ...paths] = args;
    if (request === undefined)
      throw new ClientFailure(
        'no request named; give the id that the caller sent',
        ExitCode.USAGE,
      );
    const lines: LogLine[] = [];
    for await (const line of readLogLines(paths)) lines.push(line);
    const timeline = buildTimeline(lines, request);
    if (timeline.lines.length === 0)
      throw new ClientFailure(
        `no line names ${request}; check the id, add the logs of the other hosts, and look for lines_dropped`,
        ExitCode.UNKNOWN,
      );
    print(
      flags.json
        ? JSON.stringify(timeline, null, 2)
        : describeTimeline(timeline),
    );
    return ExitCode.OK;
  },
};
