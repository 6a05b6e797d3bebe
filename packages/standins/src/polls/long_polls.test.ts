import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualClock} from '@bayspool/kernel';
import {LongPolls} from './long_polls.js';

void test('a wait ends with news, with its time, and with its signal', async () => {
  const clock = new VirtualClock();
  const polls = new LongPolls({clock});
  const controller = new AbortController();
  const ended: string[] = [];
  const note = (name: string, wait: Promise<void>) =>
    wait.then(() => void ended.push(name));
  const timed = note('timed', polls.wait(100));
  const aborted = note('aborted', polls.wait(1_000, controller.signal));
  const woken = note('woken', polls.wait(1_000));
  clock.advance(100);
  await timed;
  assert.deepEqual(ended, ['timed']);
  controller.abort();
  await aborted;
  assert.deepEqual(ended, ['timed', 'aborted']);
  polls.wake();
  await woken;
  assert.deepEqual(ended, ['timed', 'aborted', 'woken']);
});
