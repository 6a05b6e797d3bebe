// Writes docs/operators/settings.md from the sections that the sources declare. With --check it only compares.
import {readdirSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';

const TARGET = 'docs/operators/settings.md';
const HEAD = `# Settings

One INI file a host, named with \`--settings\`; \`bayspoold --check --settings FILE\` checks it.
Every value with a dimension carries its unit: \`250ms\`, \`8s\`, \`5m\`, \`6h\`; \`64KiB\`, \`16MiB\`.
Addresses are IP numbers with ports, never host names. A secret may be given as \`env:NAME\`.
A section whose header is shown with NAME may stand several times.

This page is made by \`node scripts/settings_doc.mjs\` from the sources.
`;

function sources(folder) {
  return readdirSync(folder, {withFileTypes: true}).flatMap(entry => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return sources(path);
    return /_(plugin|sections?)\.ts$/.test(entry.name) ? [path] : [];
  });
}

function field(comment, key, type) {
  const [, kind = '', fallback = ''] = /fields\s*\.(\w+)\((.*?)\)/s.exec(type) ?? [];
  const names = /z\.enum\(\[(.*?)\]/s.exec(type)?.[1].replace(/'/g, '');
  const given = /\.default\(([^()]*)\)/.exec(type)?.[1] ?? fallback;
  const isOptional = /\.optional\(\)/.test(type);
  const shown = given.replace(/[',]/g, '').trim();
  const value = isOptional ? 'none' : shown === '' && !/list|default/.test(kind) ? 'required' : shown || 'none';
  return `| \`${key}\` | ${names ?? (kind || 'text')} | ${value} | ${comment} |`;
}

function sections(text) {
  const found = [];
  for (const match of text.matchAll(/name: '([a-z-]+)',\s*(named: true,\s*)?shape: z\s*\.?strictObject\(\{|name: '([a-z-]+)',\s*(named: true,\s*)?shape: z\s*\.strictObject\(\{/g)) {
    const name = match[1] ?? match[3];
    const named = match[2] ?? match[4];
    let depth = 1;
    let end = match.index + match[0].length;
    for (; depth > 0; end++) depth += text[end] === '{' ? 1 : text[end] === '}' ? -1 : 0;
    const body = text.slice(match.index + match[0].length, end - 1);
    const rows = [];
    let comment = '';
    for (const part of body.matchAll(/\/\*\*\s*(.*?)\s*\*\/|^\s*'?([a-z-]+)'?:\s*((?:.|\n)*?),\n(?=\s*(?:\/\*\*|'?[a-z-]+'?:|$))/gm)) {
      if (part[1] !== undefined) comment = part[1].replace(/\s*\n\s*\*?\s*/g, ' ');
      else {
        rows.push(field(comment, part[2], part[3]));
        comment = '';
      }
    }
    found.push({header: named ? `[${name} NAME]` : `[${name}]`, rows});
  }
  return found;
}

const all = ['packages/daemon/src', 'packages/kernel/src'].flatMap(sources).flatMap(path => sections(readFileSync(path, 'utf8')));
const tables = all
  .sort((a, b) => a.header.localeCompare(b.header))
  .map(({header, rows}) => `\n## \`${header}\`\n\n| key | type | default | meaning |\n| --- | --- | --- | --- |\n${rows.join('\n')}\n`);
const page = HEAD + tables.join('');
if (!process.argv.includes('--check')) writeFileSync(TARGET, page);
else if (readFileSync(TARGET, 'utf8') !== page) {
  console.error(`${TARGET} is out of date; run node scripts/settings_doc.mjs`);
  process.exit(1);
}
