import Table from 'cli-table3';

const MAX_WIDTH = 80;
const PADDING = 2;
const MIN_COLUMN_WIDTH = 6;

const BORDERLESS = {
  top: '',
  'top-mid': '',
  'top-left': '',
  'top-right': '',
  bottom: '',
  'bottom-mid': '',
  'bottom-left': '',
  'bottom-right': '',
  left: '',
  'left-mid': '',
  mid: '',
  'mid-mid': '',
  right: '',
  'right-mid': '',
  middle: ' ',
};

/** Lays rows out in columns of at most 80 characters; what does not fit is wrapped. */
export function formatTable(
  head: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const widths = shrinkWidths(
    head.map(
      (title, column) =>
        Math.max(title.length, ...rows.map(row => row[column].length)) +
        PADDING,
    ),
  );
  const laidOut = new Table({
    head: [...head],
    colWidths: widths,
    wordWrap: true,
    wrapOnWordBoundary: false,
    chars: BORDERLESS,
    style: {head: [], border: [], 'padding-left': 0, 'padding-right': 1},
  });
  laidOut.push(...rows.map(row => [...row]));
  return laidOut
    .toString()
    .split('\n')
    .map(line => line.trimEnd())
    .join('\n');
}

/** Narrows the widest columns until all of them fit. */
function shrinkWidths(widths: readonly number[]): number[] {
  const result = [...widths];
  const room = MAX_WIDTH - (widths.length - 1);
  let over = result.reduce((sum, width) => sum + width, 0) - room;
  while (over > 0) {
    const widest = result.indexOf(Math.max(...result));
    if (result[widest] <= MIN_COLUMN_WIDTH) break;
    result[widest]--;
    over--;
  }
  return result;
}
