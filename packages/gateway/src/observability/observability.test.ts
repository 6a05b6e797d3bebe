import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import fs, {constants, mkdtempSync, openSync, readFileSync} from 'node:fs';
import {syncBuiltinESMExports} from 'node:module';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {mock, test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {EventLog} from './event_log.js';
import {LineWriter} from './line_writer.js';

void test('detail lines are rate-limited and the drops are logged; failures are always written', () => {
  const clock = new VirtualClock();
  const lines: string[] = [];
  const sink = {write: (line: string) => void lines.push(line)};
  const log = new EventLog({clock, host: 'h', sink, maxSampledPerSecond: 10});
  for (let i = 0; i < 50; i++) {
    log.write('caller_left', {
      request: `${i}`,
      attempts: 1,
      reason: 'left',
      forMs: 1,
    });
    log.write('request_cut', {
      request: `${i}`,
      reason: 'x',
      attempts: 1,
      forMs: 1,
    });
  }
  clock.advance(1_000);
  log.write('caller_left', {
    request: 'last',
    attempts: 1,
    reason: 'left',
    forMs: 1,
  });
  const events = lines.map(
    line => JSON.parse(line) as {event: string; count?: number},
  );
  assert.equal(events.filter(({event}) => event === 'request_cut').length, 50);
  assert.equal(events.filter(({event}) => event === 'caller_left').length, 11);
  assert.equal(events.find(({event}) => event === 'lines_dropped')?.count, 40);
});

void test('a stuck reader does not block the writer, and dropped lines are counted', async () => {
  const path = join(mkdtempSync(join(tmpdir(), 'bayspool-')), 'pipe');
  execFileSync('mkfifo', [path]);
  const descriptor = openSync(path, constants.O_RDWR | constants.O_NONBLOCK);
  const writer = new LineWriter({descriptor, maxPendingBytes: 10_000});
  const startedAt = performance.now();
  for (let i = 0; i < 2_000; i++) {
    writer.write('x'.repeat(500));
    if (i % 100 === 0) await new Promise(resolve => setImmediate(resolve));
  }
  assert.ok(performance.now() - startedAt < 1_000);
  assert.ok(writer.droppedLines > 1_000, `${writer.droppedLines} dropped`);
  writer.stop();
});

void test('lines are batched into few writes, and none is left after drain', async () => {
  const path = join(mkdtempSync(join(tmpdir(), 'bayspool-')), 'log');
  const descriptor = openSync(path, 'w');
  const write = mock.method(fs, 'write');
  syncBuiltinESMExports();
  const writer = new LineWriter({descriptor});
  for (let i = 0; i < 50; i++) {
    writer.write(`line ${i}`);
    await new Promise(resolve => setImmediate(resolve));
  }
  await writer.drain();
  const writes = write.mock.callCount();
  mock.restoreAll();
  syncBuiltinESMExports();
  assert.equal(readFileSync(path, 'utf8').split('\n').length, 51);
  assert.ok(writes <= 5, `${writes} writes`);
});

void test('no write exceeds the atomic size of a pipe, and none splits a line', async () => {
  const written: string[] = [];
  mock.method(
    fs,
    'write',
    (_: number, bytes: Buffer, done: (e: null, n: number) => void) => {
      written.push(bytes.toString());
      setImmediate(done, null, bytes.length);
    },
  );
  syncBuiltinESMExports();
  const writer = new LineWriter({descriptor: 1});
  for (let i = 0; i < 200; i++) writer.write(`${i} ${'x'.repeat(150)}`);
  writer.write('y'.repeat(6_000));
  const until = performance.now() + 2_000;
  while (!written.join('').includes('y\n') && performance.now() < until)
    await new Promise(resolve => setImmediate(resolve));
  mock.restoreAll();
  syncBuiltinESMExports();
  assert.equal(written.join('').split('\n').length, 202);
  for (const bytes of written) {
    assert.ok(bytes.endsWith('\n'));
    assert.ok(bytes.length <= 4_096 || bytes.startsWith('y'));
  }
});
