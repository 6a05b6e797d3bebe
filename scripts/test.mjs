// Runs every test of the built packages with the node:test runner; arguments are path parts to choose among them.
// Files named `.solo.test` run last, one at a time.
// Failures of the tests that KNOWN-RED.txt lists are printed and passed over, all others fail the run.
import {once} from 'node:events';
import {readdirSync} from 'node:fs';
import {join, relative} from 'node:path';
import {run} from 'node:test';
import {spec} from 'node:test/reporters';
import {readKnownRed} from './known_red.mjs';

const CONCURRENCY = 4;
/** Longest time for the tests of one file, in ms. */
const TIMEOUT_MS = 300_000;

function testFiles(folder) {
  return readdirSync(folder, {withFileTypes: true}).flatMap(entry => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return testFiles(path);
    return entry.name.endsWith('.test.js') ? [path] : [];
  });
}

/** Whether a suite failed only because tests in it did, each of which is judged by itself; a hook that fails is the suite's own. */
function isFailureOfItsTests({type, error}) {
  return type === 'suite' && error?.failureType === 'subtestsFailed';
}

/** The source of a built test file. */
function sourceOf(path) {
  return relative('.', path).replace('/dist/', '/src/').replace(/\.js$/, '.ts');
}

const wanted = process.argv.slice(2);
const folders = [...readdirSync('packages').map(name => join('packages', name)), 'platform'];
const files = folders
  .flatMap(folder => testFiles(join(folder, 'dist')))
  .filter(file => wanted.length === 0 || wanted.some(part => file.includes(part)));
if (files.length === 0) throw new Error('no test file matches: name a part of its path, or build first');
const knownRed = readKnownRed();
const failures = [];
const seen = [];
const isSolo = file => file.endsWith('.solo.test.js');
const rounds = [
  {files: files.filter(file => !isSolo(file)), concurrency: CONCURRENCY},
  {files: files.filter(isSolo), concurrency: 1},
].filter(round => round.files.length > 0);
let hasEnded = false;
// At the exit, so that the sums come behind the reporter's, and also if the run breaks off.
process.once('exit', report);
for (const round of rounds) await runRound(round);
hasEnded = true;

/** Runs some files, and resolves when the last of them has ended. */
async function runRound(round) {
  const stream = run({...round, timeout: TIMEOUT_MS});
  stream.on('test:fail', ({name, file, todo, details}) => {
    if (todo || isFailureOfItsTests(details)) return;
    const source = sourceOf(file ?? name);
    const known = knownRed.find(
      red => red.file === source && red.test === name,
    );
    if (known) seen.push(known);
    else failures.push(`${source} :: ${name}`);
  });
  const ended = once(stream, 'end');
  stream.compose(spec).pipe(process.stdout, {end: false});
  await ended;
}

function report() {
  for (const red of knownRed) {
    const state = seen.includes(red) ? 'known red' : 'listed, but did not fail in this run';
    console.log(`${state}: ${red.line}`);
  }
  for (const failure of failures) console.log(`failed: ${failure}`);
  if (!hasEnded) console.log('failed: the run broke off before its end');
  if (failures.length > 0 || !hasEnded) process.exitCode = 1;
}
