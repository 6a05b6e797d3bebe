import assert from 'node:assert/strict';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';
import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import {checkCommand} from './check_command.js';

const ROOT = resolve(fileURLToPath(import.meta.url), '../../../../..');
const folder = mkdtempSync(join(tmpdir(), 'bayspool-'));

/** Checks files; gives the exit code and the lines printed. */
async function check(...words: string[]): Promise<[ExitCode, string[]]> {
  const lines: string[] = [];
  const print = (text: string) => void lines.push(text);
  const context = {words, print} as unknown as CommandContext;
  return [await checkCommand.run(context), lines];
}

function write(name: string, text: string): string {
  const path = join(folder, name);
  writeFileSync(path, text);
  return path;
}

void test("the project's own files are in order", async () => {
  const [code, lines] = await check(
    join(ROOT, 'deploy/system.toml'),
    join(ROOT, 'examples/demo.ini'),
  );
  assert.equal(code, ExitCode.OK, lines.join('\n'));
});

void test('each fault of a deploy file names its field and the remedy', async () => {
  const path = write(
    'faulty.toml',
    `build = ""
[roles.a]
run = "node x.mjs > log"
on = "edge"
share = 1.5
serves = ["edge"]
[roles.b]
run = "node y.mjs"
on = "edge"
serves = ["edge"]
metrics = "x"
shares = 1
`,
  );
  const [code, lines] = await check(path);
  const text = lines.join('\n');
  assert.equal(code, ExitCode.REJECTED);
  assert.match(text, /build: needs the command/);
  assert.match(text, /roles\.a\.run: is not read by a shell/);
  assert.match(text, /roles\.a\.share: needs a share of at most 1/);
  assert.match(text, /roles\.b\.metrics: needs PORT\/PATH/);
  assert.match(text, /roles\.b\.shares: is not a known field/);
});

void test('roles of one class that serve the same side are told', async () => {
  const role =
    'run = "node x.mjs"\non = "edge"\nshare = 1.0\nserves = ["edge"]';
  const path = write(
    'doubled.toml',
    `build = "make"\n[roles.a]\n${role}\n[roles.b]\n${role}\n`,
  );
  const [code, lines] = await check(path);
  assert.equal(code, ExitCode.REJECTED);
  assert.match(lines[0], /two roles that serve edge on edge/);
});

void test('a deploy file that is no TOML, or names another metrics place, is told', async () => {
  const broken = write('broken.toml', 'build = \n');
  assert.match((await check(broken))[1][0], /line 1: /);
  const other = write(
    'other.toml',
    'build = "make"\n[roles.a]\nrun = "x"\non = "edge"\nshare = 1.0\nmetrics = "9999/m"\n',
  );
  assert.match((await check(other))[1][0], /roles\.a\.metrics: .*9464/);
});

void test("all faults of a host's settings are told at once", async () => {
  const path = write(
    'node.json',
    '{"ip": "10.0.0.1", "bounds": {"grace-s": -1}}',
  );
  const [code, lines] = await check(path);
  assert.equal(code, ExitCode.REJECTED);
  const fields = lines.map(line => line.split(': ')[1].split(' ')[0]);
  assert.deepEqual(fields, [
    'node-name',
    'az',
    'listen.http',
    'listen.readiness',
    'platform.address',
    'port-range',
    'bounds.grace-s',
  ]);
});

void test("faults of a daemon's settings are told", async () => {
  const path = write('faulty.ini', '[nonsense]\na = 1\n');
  const [code, lines] = await check(path);
  assert.equal(code, ExitCode.REJECTED);
  assert.match(lines.join('\n'), /nonsense/);
});

void test('a file that is missing or of no known kind is wrong usage', async () => {
  const missing = join(folder, 'missing.toml');
  await assert.rejects(check(missing), {exitCode: ExitCode.USAGE});
  const other = write('other.txt', '');
  await assert.rejects(check(other), {exitCode: ExitCode.USAGE});
  await assert.rejects(check(), {exitCode: ExitCode.USAGE});
});
