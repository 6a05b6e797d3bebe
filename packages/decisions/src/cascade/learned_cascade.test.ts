import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '@bayspool/kernel';
import type {Version} from '../configuration/version.js';
import type {CascadeRequest} from './cascade_request.js';
import {LearnedCascade} from './learned_cascade.js';
import {PassRateEstimate} from './pass_rate_estimate.js';

const cheap: Version = {
  id: 'small@1',
  model: 'small',
  state: 'stable',
  cost: 1,
  strength: 1,
};
const strong: Version = {
  ...cheap,
  id: 'large@1',
  model: 'large',
  cost: 8,
  strength: 2,
};
const request: CascadeRequest = {
  quality: 0.9,
  remainingMs: 10_000,
  ratingWaitMs: 1_000,
  canHoldAnswer: true,
  now: 0,
};

function legsFor(
  passRate: number,
  overrides: Partial<CascadeRequest> = {},
): string[] {
  const estimate = new PassRateEstimate({halfLifeMs: 1e9});
  for (let count = 0; count < 200; count++)
    estimate.addRating(count < 200 * passRate, 0);
  const candidates = [
    {version: cheap, estimate, expectedMs: 500},
    {
      version: strong,
      estimate: new PassRateEstimate({halfLifeMs: 1e9}),
      expectedMs: 500,
    },
  ];
  const policy = new LearnedCascade({
    random: new SeededRandom(1),
    explorationRate: 0,
  });
  return policy
    .plan(candidates, {...request, ...overrides})
    .legs.map(leg => leg.id);
}

void test('the cheapest plan that meets the target is chosen', () => {
  assert.deepEqual(legsFor(0.97), ['small@1']);
  assert.deepEqual(legsFor(0.6), ['small@1', 'large@1']);
  assert.deepEqual(legsFor(0.05), ['large@1']);
});

void test('the strong model answers alone when the answer cannot be held back or both legs do not fit the deadline', () => {
  assert.deepEqual(legsFor(0.6, {canHoldAnswer: false}), ['large@1']);
  assert.deepEqual(legsFor(0.6, {remainingMs: 1_500}), ['large@1']);
});
