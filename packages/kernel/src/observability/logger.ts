/** Structured log lines: a fixed message and fields. Never pass bodies or keys. */
export interface Logger {
  error(message: string, fields?: object): unknown;
  warn(message: string, fields?: object): unknown;
  info(message: string, fields?: object): unknown;
  debug(message: string, fields?: object): unknown;
}
