import type {Flags} from './flags.js';
import type {OperatorApi} from './operator_api.js';

/** What a command is run with. */
export interface CommandContext {
  readonly api: OperatorApi;
  readonly flags: Flags;
  /** The positional arguments after the command's name. */
  readonly args: readonly string[];
  readonly print: (text: string) => void;
  /** Asks for confirmation at the terminal; false if there is no terminal. */
  readonly ask: (question: string) => Promise<boolean>;
}
