import type {IncomingMessage} from 'node:http';
import type {LoadReport} from '../runners/load_report.js';

/** The usual time of work in the report. */
const PERCENT = 100;

/**
 * Reads a runner's load report from a response: requests running, requests waiting, its slots, and, from some runners,
 * how long work takes on their machine now, where 100 is the usual time, separated by commas. Undefined if the report
 * is absent or malformed.
 */
export function readLoadReport(
  response: IncomingMessage,
  header: string,
): LoadReport | undefined {
  const text = response.headers[header];
  if (typeof text !== 'string') return undefined;
  const [running, waiting, , percent] = text.split(',').map(Number);
  if (!isCount(running) || !isCount(waiting)) return undefined;
  const isStated = Number.isFinite(percent) && percent > 0;
  const slowness = isStated ? percent / PERCENT : undefined;
  return {running, waiting, slowness};
}

function isCount(value: number): boolean {
  return Number.isFinite(value) && value >= 0;
}
