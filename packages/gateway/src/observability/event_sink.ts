/** Accepts finished log lines; never blocks. */
export interface EventSink {
  /** Lines dropped since the start; absent if the sink never drops any. */
  readonly droppedLines?: number;
  write(line: string): void;
}
