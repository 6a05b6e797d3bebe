/** Length to which a malformed header value is cut for the log, in characters. */
const MAX_MALFORMED_LENGTH = 40;

/** Truncates a malformed header value, which may be of any length, for the log. */
export function truncateMalformedValue(text: string): string {
  return text.slice(0, MAX_MALFORMED_LENGTH);
}
