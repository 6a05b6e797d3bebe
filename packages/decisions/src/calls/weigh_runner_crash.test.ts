import assert from 'node:assert/strict';
import {test} from 'node:test';
import {weighRunnerCrash} from './weigh_runner_crash.js';

const ATTEMPT = {
  isStreamed: true,
  hasHead: true,
  hasBodyBytes: false,
  sinceHeadMs: 40,
  isAlone: false,
};
const WAITING = {...ATTEMPT, hasHead: false, sinceHeadMs: 0};

void test('a stream that started without output counts fully against its request', () => {
  assert.equal(weighRunnerCrash(ATTEMPT), 1);
});

void test('a stream that only waited, or ran for a while, does not count', () => {
  assert.equal(weighRunnerCrash(WAITING), 0);
  const ran = {...ATTEMPT, hasBodyBytes: true, sinceHeadMs: 2_000};
  assert.equal(weighRunnerCrash(ran), 0);
});

void test('uncertain cases count partially', () => {
  const early = weighRunnerCrash({...ATTEMPT, hasBodyBytes: true});
  const unanswered = weighRunnerCrash({...WAITING, isStreamed: false});
  for (const weight of [early, unanswered]) assert.ok(weight > 0 && weight < 1);
});

void test('a response that is not streamed counts fully if the runner had no other request', () => {
  const run = {...WAITING, isStreamed: false, isAlone: true};
  assert.equal(weighRunnerCrash(run), 1);
});

void test('a response that is not streamed and breaks off had been completed, so it does not count', () => {
  const run = {...ATTEMPT, isStreamed: false, hasBodyBytes: true};
  assert.equal(weighRunnerCrash(run), 0);
});
