import {compareLines} from './compare_lines.js';
import type {LogLine} from './log_line.js';
import type {RequestTimeline} from './request_timeline.js';

/** Fields omitted from the text of a line: they are printed elsewhere or are the same for all lines. */
const HIDDEN_FIELDS = new Set(['time', 'steadyMs', 'host', 'event', 'request']);

/** Formats a timeline as text: the state when the request began, then all lines in ordered. */
export function describeTimeline({
  request,
  lines,
  beliefs,
  changes,
}: RequestTimeline): string {
  const first = lines[0];
  const last = lines[lines.length - 1];
  const ordered = [...lines, ...changes].sort((a, b) => compareLines(a, b));
  return [
    `request ${request} at ${first.host}, ${first.time}`,
    '',
    'held when it began:',
    ...beliefs.map(line => `  ${line.time}  ${describe(line)}`),
    '',
    'what happened (own lines are marked *):',
    ...ordered.map(
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
