#!/usr/bin/env node
import {toProblem, ProblemKind} from '@bayspool/kernel';
import meow from 'meow';
import {createKernel} from './create_kernel.js';
import {runDaemon} from './run_daemon.js';
import {showHints} from './show_hints.js';

const ExitCode = {FAILED: 1, SETTINGS: 2} as const;
/** Signals on which the daemon leaves in good order; each of them ends a process by default. */
const STOP_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP', 'SIGQUIT'] as const;

const cli = meow(
  `
  Runs a host of bayspool.

  Usage
    bayspoold --settings FILE

  Options
    --settings FILE  the INI file; its sections are in docs/operators/settings.md
    --check          checks the file and ends
    --hints          prints commands to try, as the demo does

  Exit codes
    0 left in good order   1 failed   2 the settings have faults
`,
  {
    importMeta: import.meta,
    flags: {
      settings: {type: 'string', isRequired: true},
      check: {type: 'boolean', default: false},
      hints: {type: 'boolean', default: false},
    },
  },
);

try {
  const kernel = createKernel(cli.flags.settings);
  if (cli.flags.check) {
    console.log(`${cli.flags.settings} is in order`);
    process.exit(0);
  }
  const stopping = new AbortController();
  for (const signal of STOP_SIGNALS) process.on(signal, () => stopping.abort());
  if (cli.flags.hints) showHints();
  await runDaemon(kernel, stopping.signal);
  process.exit(0);
} catch (error) {
  const problem = toProblem(error);
  console.error(`bayspoold: ${problem.message}`);
  if (problem.kind === ProblemKind.INTERNAL) console.error(error);
  process.exit(
    problem.kind === ProblemKind.SETTINGS ? ExitCode.SETTINGS : ExitCode.FAILED,
  );
}
