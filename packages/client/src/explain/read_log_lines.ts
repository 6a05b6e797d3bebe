import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import type {LogLine} from './log_line.js';

/**
 * Reads the log lines of several hosts. Text before the first brace of a line is ignored, because log collectors
 * add prefixes. Lines that are not log events are skipped.
 *
 * @param paths log files; reads standard input if empty
 */
export async function* readLogLines(
  paths: readonly string[],
): AsyncGenerator<LogLine> {
  const inputs =
    paths.length === 0
      ? [process.stdin]
      : paths.map(path => createReadStream(path));
  for (const input of inputs) {
    for await (const text of createInterface({input})) {
      const line = parse(text);
      if (line) yield line;
    }
  }
}

function parse(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const line = JSON.parse(text.slice(start)) as LogLine;
    return typeof line.event === 'string' ? line : undefined;
  } catch {
    return undefined;
  }
}
