// Checks that nothing outside platform/ names the platform's wire: its headers, paths, topics and hyphenated fields.
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';

const WIRE = [
  'log-newest', 'log-read', 'log-append', 'log-join', 'store-revision', 'since-rev', 'keyed.op', 'keyed.servers',
  'keyed.status', 'server-stamp', 'not-run:', 'expect-instance', 'prefix-hash', 'token-count', 'request-priority',
  'api-key\'', 'target-version', 'duration-s', 'path-prefix', 'timeout-ms', 'goal-ms', 'itl-target-ms',
  'max-conns', 'backend-engine', 'kv-capacity', 'api-keys', 'port-range', 'grace-s', 'revoke-ms', 'config-ms',
  'op/config', 'BAYSPOOL_SETTINGS',
];

function sources(folder) {
  return readdirSync(folder, {withFileTypes: true}).flatMap(entry => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return ['node_modules', 'dist'].includes(entry.name) ? [] : sources(path);
    return entry.name.endsWith('.ts') ? [path] : [];
  });
}

const found = sources('packages').flatMap(path => {
  const text = readFileSync(path, 'utf8').toLowerCase();
  return WIRE.filter(name => text.includes(name.toLowerCase())).map(name => `${path}: ${name}`);
});
if (found.length > 0) {
  console.error(`names of the platform's wire outside platform/; decode them there:\n${found.join('\n')}`);
  process.exit(1);
}
