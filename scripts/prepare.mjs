// Installs and builds what is missing or out of date, so that every command works on a fresh clone.
import {spawnSync} from 'node:child_process';
import {existsSync, readFileSync, writeFileSync} from 'node:fs';
import {createHash} from 'node:crypto';

const STAMP = 'node_modules/.bayspool-lock';

function run(command, args) {
  const result = spawnSync(command, args, {stdio: ['ignore', 2, 2]});
  if (result.status !== 0) process.exit(result.status ?? 1);
}

const lock = createHash('sha256').update(readFileSync('package-lock.json')).digest('hex');
const installed = existsSync(STAMP) && readFileSync(STAMP, 'utf8') === lock;
if (!installed) {
  run('npm', ['ci', '--no-audit', '--no-fund', '--loglevel=error']);
  writeFileSync(STAMP, lock);
}
run('npx', ['tsc', '-b']);
