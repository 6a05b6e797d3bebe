import type {Command} from '../command.js';
import {ExitCode} from '../exit_code.js';

/** `bayspool config`. */
export const configCommand: Command = {
  name: 'config',
  summary: 'print the configuration in force as JSON',
  help: `
  Usage
    bayspool config
`,
  async run({api, flags, print}) {
    const config = await api.get<object>('config');
    print(
      flags.json ? JSON.stringify(config) : JSON.stringify(config, null, 2),
    );
    return ExitCode.OK;
  },
};
