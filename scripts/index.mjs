// Writes src/index.ts of the packages named: one line for each module, tests left out.
import {readdirSync, readFileSync, writeFileSync} from 'node:fs';
import {join, relative} from 'node:path';

const TITLES = {
  decisions: 'The decisions of bayspool: pure logic without I/O, and the interfaces of what stands outside.',
  standins: 'Stand-ins for the platform and the runners, embedded or as programs.',
};

function modules(folder) {
  return readdirSync(folder, {withFileTypes: true}).flatMap(entry => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return modules(path);
    return /(?<!\.test)\.ts$/.test(entry.name) && !['index.ts', 'main.ts'].includes(entry.name) ? [path] : [];
  });
}

function exportLine(root, path) {
  const text = readFileSync(path, 'utf8');
  const braces = /^export \{(\w+)\};/m.exec(text);
  const direct = /^export (?:abstract |async )*(class|function|const|interface|type) (\w+)/m.exec(text);
  const name = braces?.[1] ?? direct?.[2];
  if (!name) return undefined;
  const kind = !braces && ['interface', 'type'].includes(direct[1]) ? 'export type' : 'export';
  return `${kind} {${name}} from './${relative(root, path).replace(/\.ts$/, '.js')}';`;
}

for (const name of process.argv.slice(2)) {
  const root = join('packages', name, 'src');
  const lines = modules(root).sort().map(path => exportLine(root, path)).filter(Boolean);
  writeFileSync(join(root, 'index.ts'), `/** ${TITLES[name]} */\n${lines.join('\n')}\n`);
}
