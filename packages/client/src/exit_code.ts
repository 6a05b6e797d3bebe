/** The exit codes of the command line. */
const ExitCode = {
  OK: 0,
  /** The daemon could not be reached, or it refused the request. */
  FAILED: 1,
  USAGE: 2,
  /** The intent was rejected, or `bayspool check` found faults. */
  REJECTED: 3,
  /** The intent log did not answer, the intent is not done yet, or the logs hold nothing; `bayspool watch ID` asks again for an intent. */
  UNKNOWN: 4,
  /** The operator did not confirm. */
  NOT_CONFIRMED: 5,
} as const;
type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

export {ExitCode};
