import {readFileSync} from 'node:fs';
import {parse} from 'ini';

const OPTION = '--settings';
const SECTION = 'standin';
const KIND = 'kind';

/** The command line with the options of its settings file, if it names one, put before its own. */
export function readFlags(argv: readonly string[]): string[] {
  const file = settingsFile(argv);
  if (file === undefined) return [...argv];
  const section = (parse(readFileSync(file, 'utf8'))[SECTION] ?? {}) as Record<
    string,
    string
  >;
  const options = Object.entries(section).filter(([key]) => key !== KIND);
  return [
    section[KIND],
    ...options.map(([key, value]) => `--${key}=${value}`),
    ...argv,
  ];
}

function settingsFile(argv: readonly string[]): string | undefined {
  const index = argv.findIndex(
    word => word === OPTION || word.startsWith(`${OPTION}=`),
  );
  if (index === -1) return undefined;
  return argv[index].includes('=')
    ? argv[index].slice(OPTION.length + 1)
    : argv[index + 1];
}
