import {compareLines} from './compare_lines.js';
import type {LogLine} from './log_line.js';
import type {RequestTimeline} from './request_timeline.js';

/** Fields that are left out of a line's text: they stand elsewhere or are the same for all. */
const HIDDEN_FIELDS = new Set(['time', 'steadyMs', 'host', 'event', 'request']);

/** A story as text: what held when the request began, then everything in order. */
export function describeTimeline({
  request,
  lines,
  beliefs,
  changes,
}: RequestTimeline): string {
  const begun = lines[0];
  const last = lines[lines.length - 1];
  const order = [...lines, ...changes].sort((a, b) => compareLines(a, b));
  return [
    `request ${request} at ${begun.host}, ${begun.time}`,
    '',
    'held when it began:',
    ...beliefs.map(line => `  ${line.time}  ${describe(line)}`),
    '',
    'what happened (own lines are marked *):',
    ...order.map(
      line =>
        `${line.request === request ? '* ' : '  '}${line.time}  ${describe(line)}`,
    ),
    '',
    `ended with: ${describe(last)}`,
  ].join('\n');
}

function describe(line: LogLine): string {
  const fields = Object.entries(line)
    .filter(([name, value]) => !HIDDEN_FIELDS.has(name) && value !== undefined)
    .map(([name, value]) => `${name}=${String(value)}`);
  return [line.event, ...fields].join(' ');
}
