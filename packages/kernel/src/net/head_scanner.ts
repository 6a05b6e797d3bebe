const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

/** The header lines of a message, as far as a scan found their end. */
interface ScannedLines {
  /** Offset behind the empty line that ends them. */
  readonly end: number;
  readonly lineCount: number;
}

/** Finds the end of header lines in bytes that arrive in parts, and counts the lines. */
export class HeadScanner {
  private lineStart = 0;
  private lineCount = 0;

  /**
   * @param bytes all bytes since the first line, with those of earlier calls
   * @returns undefined if the end is not among them
   */
  scan(bytes: Buffer): ScannedLines | undefined {
    for (;;) {
      const {lineStart} = this;
      const end = bytes.indexOf(LINE_FEED, lineStart);
      if (end < 0) return undefined;
      if (isEmptyLine(bytes, lineStart, end)) {
        const {lineCount} = this;
        this.reset();
        return {end: end + 1, lineCount};
      }
      this.lineCount += 1;
      this.lineStart = end + 1;
    }
  }

  /** Begins with the lines of another message. */
  reset(): void {
    this.lineStart = 0;
    this.lineCount = 0;
  }
}

function isEmptyLine(bytes: Buffer, start: number, end: number): boolean {
  if (end === start) return true;
  return end === start + 1 && bytes[start] === CARRIAGE_RETURN;
}
