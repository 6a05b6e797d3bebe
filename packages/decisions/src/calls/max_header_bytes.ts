/**
 * The server for callers rejects larger header sections by itself, in bytes; limits of a configuration
 * are only effective below it.
 */
export const MAX_HEADER_BYTES = 65_536;
