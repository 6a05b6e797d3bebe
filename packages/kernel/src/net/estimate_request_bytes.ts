/** Size of what a process keeps of an open request, whatever its head, in bytes. */
const BASE_BYTES = 8_192;
/** What each byte and each line of a head adds: its text is kept in several forms. */
const BYTES_PER_HEAD_BYTE = 4;
const BYTES_PER_LINE = 256;

/** Estimates how much memory a request takes while it is open, from the size of its head, in bytes. */
export function estimateRequestBytes(
  headBytes: number,
  lineCount: number,
): number {
  return (
    BASE_BYTES + headBytes * BYTES_PER_HEAD_BYTE + lineCount * BYTES_PER_LINE
  );
}
