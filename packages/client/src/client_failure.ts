import type {ExitCode} from './exit_code.js';

/** Ends the command with a message and an exit code. */
export class ClientFailure extends Error {
  constructor(
    message: string,
    readonly exitCode: ExitCode,
  ) {
    super(message);
    this.name = 'ClientFailure';
  }
}
