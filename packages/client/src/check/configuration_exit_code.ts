/** The exit codes of `bayspool check --configuration`, for scripts; other than those of the other commands. */
const ConfigurationExitCode = {
  CLEAN: 0,
  /** Only with `--strict`. */
  WARNINGS: 1,
  /** Errors were found, or a file can't be read. */
  ERRORS: 2,
} as const;
type ConfigurationExitCode =
  (typeof ConfigurationExitCode)[keyof typeof ConfigurationExitCode];

export {ConfigurationExitCode};
