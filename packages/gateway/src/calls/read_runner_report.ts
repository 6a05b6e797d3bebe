import type {IncomingMessage} from 'node:http';
import type {LoadReport} from '../runners/load_report.js';

/**
 * Reads what a runner says of itself with an answer: requests running, waiting, and its slots, with
 * commas between them; undefined where it says nothing or something else.
 */
export function readRunnerReport(
  answer: IncomingMessage,
  header: string,
): LoadReport | undefined {
  const text = answer.headers[header];
  if (typeof text !== 'string') return undefined;
  const [running, waiting] = text.split(',').map(Number);
  if (!(running >= 0) || !(waiting >= 0)) return undefined;
  return {running, waiting};
}
