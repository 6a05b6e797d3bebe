/** Takes finished log lines; never blocks. */
export interface EventSink {
  write(line: string): void;
}
