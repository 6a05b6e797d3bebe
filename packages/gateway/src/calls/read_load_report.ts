import type {IncomingMessage} from 'node:http';
import type {LoadReport} from '../runners/load_report.js';

/**
 * Reads a runner's load report from a response: requests running, requests waiting, and its slots,
 * separated by commas. Undefined if the report is absent or malformed.
 */
export function readLoadReport(
  response: IncomingMessage,
  header: string,
): LoadReport | undefined {
  const text = response.headers[header];
  if (typeof text !== 'string') return undefined;
  const [running, waiting] = text.split(',').map(Number);
  if (!(running >= 0) || !(waiting >= 0)) return undefined;
  return {running, waiting};
}
