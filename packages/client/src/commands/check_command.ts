import {access} from 'node:fs/promises';
import {ClientFailure} from '../client_failure.js';
import {checkConfigurationFile} from '../check/check_configuration_file.js';
import {loadCheckers} from '../check/load_checkers.js';
import type {Command} from '../command.js';
import {ExitCode} from '../exit_code.js';

/** `bayspool check`. */
export const checkCommand: Command = {
  name: 'check',
  summary:
    'check settings, the deploy file or a configuration before they are used',
  help: `
  Usage
    bayspool check FILE ...
    bayspool check --configuration FILE [--in-force FILE] [--strict] [--json]

  Finds the faults of a daemon's settings (.ini), of the file by which the platform deploys the
  programs (.toml), and of the settings that it gives a host (.json). Each line names the field and
  the remedy. Starts nothing and calls nobody.

  Exit codes
    0 all in order   2 a file is missing or of no known kind   3 faults were found

  With --configuration, finds what is wrong with the operator's configuration of the gateway (JSON):
  errors, entries that can never match, and limits that contradict each other. API keys are never
  printed.
    --in-force FILE   also list what differs from the configuration in FILE, which is in force
    --strict          fail on warnings too
    --json            print findings and differences as JSON

  Exit codes with --configuration
    0 no errors   1 warnings, with --strict   2 errors, or a file cannot be read
`,
  async run({args, flags, print}) {
    const {configuration, inForce, strict, json} = flags;
    if (configuration !== undefined && args.length === 0)
      return checkConfigurationFile({
        path: configuration,
        inForcePath: inForce,
        isStrict: strict,
        isJson: json,
        print,
      });
    if (configuration !== undefined || inForce !== undefined || strict)
      throw new ClientFailure(
        '--in-force and --strict go with --configuration FILE, and no other file; check other files by themselves',
        ExitCode.USAGE,
      );
    if (args.length === 0)
      throw new ClientFailure(
        'no file named; give the files to check',
        ExitCode.USAGE,
      );
    let hasFaults = false;
    for (const path of args) {
      const faults = await findFaults(path);
      if (faults.length === 0) print(`${path}: in order`);
      for (const fault of faults) print(`${path}: ${fault}`);
      hasFaults ||= faults.length > 0;
    }
    return hasFaults ? ExitCode.REJECTED : ExitCode.OK;
  },
};

async function findFaults(path: string): Promise<readonly string[]> {
  await access(path).catch(() => {
    throw new ClientFailure(
      `${path} cannot be read; check the path`,
      ExitCode.USAGE,
    );
  });
  const checkers = await loadCheckers();
  const checker = checkers.find(candidate => candidate.accepts(path));
  if (!checker)
    throw new ClientFailure(
      `${path} is of no kind that can be checked; name an .ini, .toml or .json file`,
      ExitCode.USAGE,
    );
  return checker.findFaults(path);
}
