/** Takes finished log lines; never blocks. */
export interface EventSink {
  /** Lines that it had to drop since the start; absent if it never drops any. */
  readonly droppedLines?: number;
  write(line: string): void;
}
