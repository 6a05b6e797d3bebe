// Tests that fail for a known fault: a line each in KNOWN-RED.txt, `FILE :: TEST | cause | command and seed | seen | issue`.
import {existsSync, readFileSync} from 'node:fs';

const PATH = 'KNOWN-RED.txt';
/** More than this is not landed; tests that run alone are not counted. */
const MAX_LINES = 30;
const UNCOUNTED = '.solo.test.ts ::';

/** The tests that may fail, as {file, test}; throws with a remedy on a line that cannot be read. */
export function readKnownRed(path = PATH) {
  if (!existsSync(path)) return [];
  const lines = readFileSync(path, 'utf8').split('\n').filter(line => line.trim() !== '');
  const counted = lines.filter(line => !line.includes(UNCOUNTED));
  if (counted.length > MAX_LINES)
    throw new Error(`${path} has ${counted.length} lines, ${MAX_LINES} at most: mend some of the faults first`);
  return lines.map(line => parse(line, path));
}

function parse(line, path) {
  const fields = line.split('|').map(field => field.trim());
  const [file, test] = (fields[0] ?? '').split('::').map(part => part.trim());
  if (fields.length !== 5 || fields.includes('') || !file || !test)
    throw new Error(`${path}: write 'FILE :: TEST | cause | command and seed | seen | issue' in place of: ${line}`);
  return {file, test, line};
}
