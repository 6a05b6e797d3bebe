import {formatTable} from '../output/format_table.js';
import type {LossRow} from './loss_row.js';
import type {LossSummary} from './loss_summary.js';

const HEAD = [
  '',
  'calls',
  'in time',
  'late',
  'refused',
  'failed',
  'cut',
  'left',
];

/** Formats a summary as text, one table per grouping. */
export function describeLosses(summary: LossSummary): string {
  const {byRoute, byPlace, bySecond, byReason} = summary;
  const droppedSeconds = (summary.droppedMs / 1_000).toFixed(1);
  return [
    describeRows('by reason (of those not in time)', byReason),
    describeRows('by route', byRoute),
    describeRows('by place', byPlace),
    describeRows('by second', bySecond),
    `dropped answers of small models: ${summary.droppedAnswers}, reading for them: ${droppedSeconds} s of engine time`,
  ].join('\n\n');
}

function describeRows(title: string, rows: readonly LossRow[]): string {
  const cells = rows.map(row => [
    row.name,
    ...[row.calls, row.inTime, row.late, row.refused, row.failed].map(String),
    ...[row.cut, row.left].map(String),
  ]);
  return `${title}\n${formatTable(HEAD, cells)}`;
}
