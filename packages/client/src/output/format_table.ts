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

/** Formats rows as columns, at most 80 characters wide in total; longer cells are wrapped. */
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
  const layout = new Table({
    head: [...head],
    colWidths: widths,
    wordWrap: true,
    wrapOnWordBoundary: false,
    chars: BORDERLESS,
    style: {head: [], border: [], 'padding-left': 0, 'padding-right': 1},
  });
  layout.push(...rows.map(row => [...row]));
  return layout
    .toString()
    .split('\n')
    .map(line => line.trimEnd())
    .join('\n');
}

/** Narrows the widest columns until the table fits, but none below the minimum. */
function shrinkWidths(widths: readonly number[]): number[] {
  const result = [...widths];
  const available = MAX_WIDTH - (widths.length - 1);
  let excess = result.reduce((sum, width) => sum + width, 0) - available;
  while (excess > 0) {
    const widest = result.indexOf(Math.max(...result));
    if (result[widest] <= MIN_COLUMN_WIDTH) break;
    result[widest]--;
    excess--;
  }
  return result;
}
