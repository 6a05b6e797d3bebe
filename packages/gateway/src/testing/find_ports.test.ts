// Guards against two test processes that get the same port, of which one then fails to listen.
import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {test} from 'node:test';
import {promisify} from 'node:util';
import {findPorts} from './find_ports.js';

const PROCESSES = 4;
/** As many as hosts of some tests use together. */
const PORTS = 140;
const MODULE = new URL('find_ports.js', import.meta.url).href;
/** Holds what it gets until the others have theirs. */
const SCRIPT = `
  const {findPorts} = await import('${MODULE}');
  console.log(JSON.stringify(await findPorts(${PORTS})));
  setTimeout(() => undefined, 1_500);
`;

void test('processes that look for ports at a time never get the same one', async () => {
  const run = promisify(execFile);
  const args = ['--input-type=module', '-e', SCRIPT];
  const outputs = await Promise.all(
    Array.from({length: PROCESSES}, () => run(process.execPath, args)),
  );
  const ports = outputs.flatMap(
    ({stdout}) => JSON.parse(stdout) as readonly number[],
  );
  assert.equal(new Set(ports).size, PROCESSES * PORTS);
});

void test('searches in one process never get the same port', async () => {
  const searches = Array.from({length: 40}, () => findPorts(5));
  const ports = (await Promise.all(searches)).flat();
  assert.equal(new Set(ports).size, ports.length);
});
