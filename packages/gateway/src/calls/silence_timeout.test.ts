import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CallKind} from '@bayspool/decisions/calls';
import type {CallRoute} from '@bayspool/decisions/calls';
import type {Runner} from '../runners/runner.js';
import {silenceTimeout} from './silence_timeout.js';

const KINDS = [
  CallKind.SAFE,
  CallKind.RESUMABLE,
  CallKind.UNSAFE,
  CallKind.STREAM,
];

function routeOf(kind: CallKind): CallRoute {
  return {kind, latencyTargetMs: 200, pauseTargetMs: 1_000} as CallRoute;
}

void test('no silence under the shortest one is too long, whatever else holds', () => {
  const runner = {isQuiet: true, usualFirstByteMs: 0} as Runner;
  for (const kind of KINDS) {
    const route = routeOf(kind);
    const shortestMs = silenceTimeout.shortestMs(route);
    const at = (quietMs: number, hasEvents: boolean) =>
      silenceTimeout.isTooSilent(route, runner, {
        quietMs,
        hasEvents,
        longestPauseMs: 0,
        expectedMs: 0,
      });
    for (const hasEvents of [false, true]) {
      assert.equal(at(Math.min(shortestMs, 1e9), hasEvents), false, kind);
      if (shortestMs < Infinity)
        assert.equal(at(shortestMs + 1, hasEvents), true, kind);
    }
  }
});

void test('calls that may run once are not watched', () => {
  assert.equal(silenceTimeout.shortestMs(routeOf(CallKind.UNSAFE)), Infinity);
  assert.equal(silenceTimeout.shortestMs(routeOf(CallKind.STREAM)), Infinity);
});

void test('a first event may take a part of the latency target, for prompts not heard of yet', () => {
  const runner = {isQuiet: true, usualFirstByteMs: 0} as Runner;
  const route = {...routeOf(CallKind.RESUMABLE), latencyTargetMs: 4_000};
  const quiet = {quietMs: 1_000, longestPauseMs: 0, expectedMs: 20};
  const isTooSilent = (hasEvents: boolean) =>
    silenceTimeout.isTooSilent(route, runner, {...quiet, hasEvents});
  assert.equal(isTooSilent(true), true);
  assert.equal(isTooSilent(false), false);
});
