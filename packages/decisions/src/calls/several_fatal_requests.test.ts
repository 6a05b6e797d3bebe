import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '@bayspool/kernel';
import {FatalRequestSimulation} from './testing/fatal_request_simulation.js';

/** Most arrivals of a request after three runners have crashed that had it. */
const MAX_LATE_ARRIVALS = 3;
/** Longest time for which an innocent request may be held back after its last crash, in ms: the hold, the turns of seven hosts and its caller's repeat. */
const MAX_HOLD_MS = 8_500;
const SEEDS = [1, 2, 3, 4];
const PROMPT_MS = [20, 40] as const;
const DELAYED_MS = [500, 4_000] as const;

const CASES = [
  {fatals: 1, runners: 3},
  {fatals: 2, runners: 6},
  {fatals: 3, runners: 4},
  {fatals: 4, runners: 3},
  {fatals: 4, runners: 8},
  {fatals: 4, runners: 12},
];

for (const {fatals, runners} of CASES)
  for (const isStreamed of [true, false])
    for (const noticeMs of [PROMPT_MS, DELAYED_MS]) {
      const form = isStreamed ? 'streamed' : 'whole';
      const notice = noticeMs === PROMPT_MS ? 'known at once' : 'known late';
      void test(`${fatals} requests that crash ${runners} runners are held back, and innocent ones go on: ${form} responses, crashes ${notice}`, () => {
        for (const seed of SEEDS) {
          const result = new FatalRequestSimulation({
            random: new SeededRandom(seed),
            hosts: 7,
            runners,
            fatals,
            fatalIntervalMs: [30, 90],
            innocentPerSecond: 60,
            isStreamed,
            noticeMs,
            durationMs: 35_000,
          }).run();
          const seen = `seed ${seed}: ${JSON.stringify(result)}`;
          const late = Math.max(...result.lateArrivals);
          assert.ok(late <= MAX_LATE_ARRIVALS, seen);
          assert.equal(result.quarantinedFatals, fatals, seen);
          assert.equal(result.quarantinedInnocents, 0, seen);
          const longestMs = MAX_HOLD_MS + noticeMs[1];
          assert.ok(result.longestHoldMs <= longestMs, seen);
          assert.equal(result.heldInnocents, 0, seen);
          assert.equal(result.unanswered, 0, seen);
        }
      });
    }
