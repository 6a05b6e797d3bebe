import type {LogLine} from './log_line.js';

/** Orders lines by time of day; lines of one host with the same time by its monotonic clock. */
export function compareLines(a: LogLine, b: LogLine): number {
  if (a.host === b.host && a.time === b.time) return a.steadyMs - b.steadyMs;
  return a.time < b.time ? -1 : a.time > b.time ? 1 : 0;
}
