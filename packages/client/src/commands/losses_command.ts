import {writeFileSync} from 'node:fs';
import {ClientFailure} from '../client_failure.js';
import type {Command} from '../command.js';
import {ExitCode} from '../exit_code.js';
import type {LogLine} from '../explain/log_line.js';
import {readLogLines} from '../explain/read_log_lines.js';
import {describeLosses} from '../losses/describe_losses.js';
import {plotLosses} from '../losses/plot_losses.js';
import {readCalls} from '../losses/read_calls.js';
import {summarizeLosses} from '../losses/summarize_losses.js';

/** `bayspool losses`. */
export const lossesCommand: Command = {
  name: 'losses',
  summary: 'say where requests were late, refused, failed or cut, and why',
  help: `
  Usage
    bayspool losses [FILE ...]
    cat host-*.log | bayspool losses

  Reads the log lines of hosts and sums up how requests ended, by reason, route, place of the host and
  second. Detail is sampled under load: look for lines_dropped before you compare counts.

  Options
    --json       the sums as JSON
    --out FILE   also a picture (SVG), a bar a second
`,
  async run({args, flags, print}) {
    const lines: LogLine[] = [];
    for await (const line of readLogLines(args)) lines.push(line);
    const calls = readCalls(lines);
    if (calls.length === 0)
      throw new ClientFailure(
        'no request ended in these lines; give the logs of hosts that took requests',
        ExitCode.UNKNOWN,
      );
    const summary = summarizeLosses(calls);
    if (flags.out !== undefined) writeFileSync(flags.out, plotLosses(summary));
    print(
      flags.json ? JSON.stringify(summary, null, 2) : describeLosses(summary),
    );
    return ExitCode.OK;
  },
};
