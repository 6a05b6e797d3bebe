import type {LogPage} from './log_page.js';

/** The platform's append-only log service. Each stream has its own offsets, which start at 0. */
export interface Log {
  /**
   * Appends values and returns the offset of the first. After a rejection, the
   * values may still have been appended, as the response can be lost.
   */
  append(stream: string, values: readonly string[]): Promise<number>;
  /**
   * Reads records from offset `from` on. When there are none, waits up to `waitMs`
   * for one (long poll). Expired records are skipped; `first` in the page shows it.
   */
  read(
    stream: string,
    from: number,
    options: {readonly waitMs: number; readonly signal?: AbortSignal},
  ): Promise<LogPage>;
}
