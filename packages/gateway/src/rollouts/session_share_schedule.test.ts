import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SessionShareSchedule} from './session_share_schedule.js';

void test('a larger share takes effect one second after it was scheduled, also at hosts that received it', () => {
  const one = new SessionShareSchedule();
  const other = new SessionShareSchedule();
  one.scheduleIncrease(0.1, 5_000);
  other.merge(one.announcedSteps);
  for (const shares of [one, other]) {
    assert.equal(shares.shareAt(5_999), 0.02);
    assert.equal(shares.shareAt(6_000), 0.1);
  }
});

void test('the share never decreases, and takes effect at the earliest time that a host set', () => {
  const one = new SessionShareSchedule();
  const other = new SessionShareSchedule();
  one.scheduleIncrease(0.3, 5_000);
  other.scheduleIncrease(0.3, 5_500);
  other.scheduleIncrease(0.1, 6_000);
  one.merge(other.announcedSteps);
  other.merge(one.announcedSteps);
  assert.deepEqual(one.announcedSteps, other.announcedSteps);
  assert.equal(one.shareAt(6_000), 0.3);
  assert.equal(other.shareAt(9_000), 0.3);
});

void test('a digest without steps, from a host that runs an earlier release, changes nothing', () => {
  const shares = new SessionShareSchedule();
  shares.scheduleIncrease(0.1, 1_000);
  shares.merge(undefined);
  assert.equal(shares.shareAt(2_000), 0.1);
});
