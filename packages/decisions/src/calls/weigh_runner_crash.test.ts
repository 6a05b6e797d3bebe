import assert from 'node:assert/strict';
import {test} from 'node:test';
import {weighRunnerCrash} from './weigh_runner_crash.js';

const RUN = {
  isStreamed: true,
  hasHead: true,
  hasBodyBytes: false,
  sinceHeadMs: 40,
  isAlone: false,
};
const WAITING = {...RUN, hasHead: false, sinceHeadMs: 0};

void test('a stream that was begun and gave nothing speaks against its request', () => {
  assert.equal(weighRunnerCrash(RUN), 1);
});

void test('a stream that only waited, or ran for a while, does not', () => {
  assert.equal(weighRunnerCrash(WAITING), 0);
  const ran = {...RUN, hasBodyBytes: true, sinceHeadMs: 2_000};
  assert.equal(weighRunnerCrash(ran), 0);
});

void test('what leaves doubt counts in part', () => {
  const early = weighRunnerCrash({...RUN, hasBodyBytes: true});
  const unanswered = weighRunnerCrash({...WAITING, isStreamed: false});
  for (const weight of [early, unanswered]) assert.ok(weight > 0 && weight < 1);
});

void test('a whole answer that nothing else was beside leaves none', () => {
  const run = {...WAITING, isStreamed: false, isAlone: true};
  assert.equal(weighRunnerCrash(run), 1);
});

void test('a whole answer that breaks off was made', () => {
  const run = {...RUN, isStreamed: false, hasBodyBytes: true};
  assert.equal(weighRunnerCrash(run), 0);
});
