import assert from 'node:assert/strict';
import {test} from 'node:test';
import {weighRunnerEnd} from './weigh_runner_end.js';

const RUN = {
  isStreamed: true,
  hasHead: true,
  hasPieces: false,
  sinceHeadMs: 40,
  isAlone: false,
};
const WAITING = {...RUN, hasHead: false, sinceHeadMs: 0};

void test('a stream that was begun and gave nothing speaks against its request', () => {
  assert.equal(weighRunnerEnd(RUN), 1);
});

void test('a stream that only waited, or ran for a while, does not', () => {
  assert.equal(weighRunnerEnd(WAITING), 0);
  const ran = {...RUN, hasPieces: true, sinceHeadMs: 2_000};
  assert.equal(weighRunnerEnd(ran), 0);
});

void test('what leaves doubt counts in part', () => {
  const early = weighRunnerEnd({...RUN, hasPieces: true});
  const unanswered = weighRunnerEnd({...WAITING, isStreamed: false});
  for (const weight of [early, unanswered]) assert.ok(weight > 0 && weight < 1);
});

void test('a whole answer that nothing else was beside leaves none', () => {
  const run = {...WAITING, isStreamed: false, isAlone: true};
  assert.equal(weighRunnerEnd(run), 1);
});

void test('a whole answer that breaks off was made', () => {
  const run = {...RUN, isStreamed: false, hasPieces: true};
  assert.equal(weighRunnerEnd(run), 0);
});
