import type {Flags} from './flags.js';
import type {OperatorApi} from './operator_api.js';

/** What a command works with. */
export interface CommandContext {
  readonly api: OperatorApi;
  readonly flags: Flags;
  /** The words after the command's name. */
  readonly args: readonly string[];
  readonly print: (text: string) => void;
  /** Asks the person at the terminal; false when there is none. */
  readonly ask: (question: string) => Promise<boolean>;
}
