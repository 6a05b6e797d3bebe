import type {CommandContext} from './command_context.js';
import type {ExitCode} from './exit_code.js';

/** One command of the command line. */
export interface Command {
  readonly name: string;
  /** One line for the list of commands in the help. */
  readonly summary: string;
  readonly help: string;
  run(context: CommandContext): Promise<ExitCode>;
}
