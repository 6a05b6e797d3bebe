import {roundToHundredths} from '../observability/round_to_hundredths.js';
import type {EventLog} from '../observability/event_log.js';
import type {Rollout} from './rollout.js';

/** Logs a rollout's shares, and the attempts and outcomes of both versions at all hosts so far. */
export function logRolloutCounts(log: EventLog, rollout: Rollout): void {
  const {service, version} = rollout.order;
  const {fresh, old} = rollout.tallies;
  const {compared, longerShare, deviations} = rollout.timeComparison;
  log.write('rollout_counted', {
    service,
    version,
    elapsedMs: Math.round(rollout.elapsedMs),
    share: roundToHundredths(rollout.shareOf({hasSession: false})),
    sessionShare: roundToHundredths(rollout.shareOf({hasSession: true})),
    newSent: rollout.sent.fresh,
    oldSent: rollout.sent.old,
    newEnded: fresh.ended,
    newFailed: fresh.failed,
    newSlow: fresh.slow,
    newLost: fresh.lost ?? 0,
    oldEnded: old.ended,
    oldFailed: old.failed,
    oldSlow: old.slow,
    oldLost: old.lost ?? 0,
    timesCompared: compared,
    longerShare: roundToHundredths(longerShare),
    longerDeviations: roundToHundredths(deviations),
    hasLostCounts: rollout.hasLostCounts || undefined,
    ownNewSent: rollout.evidence.sent.fresh,
  });
}
