import assert from 'node:assert/strict';
import {test} from 'node:test';
import {formatTable} from './format_table.js';

void test('a table with long cells stays within 80 columns and loses no text', () => {
  const long = 'x'.repeat(200);
  const text = formatTable(['ID', 'REASON'], [['short', long]]);
  const lines = text.split('\n');
  assert.ok(lines.every(line => line.length <= 80));
  assert.equal(text.replace(/[^x]/g, '').length, 200);
});
