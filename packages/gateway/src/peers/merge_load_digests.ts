import {mergePartQuarantineDigests} from '../quarantine/merge_part_quarantine_digests.js';
import {mergeQuarantineDigests} from '../quarantine/merge_quarantine_digests.js';
import {mergeRolloutDigests} from '../rollouts/merge_rollout_digests.js';
import type {RolloutDigest} from '../rollouts/rollout_digest.js';
import {mergeDemands} from './merge_demands.js';
import type {LoadDigest} from './load_digest.js';
import {mergePromptParts} from './merge_prompt_parts.js';
import {mergeRetryCounts} from './merge_retry_counts.js';
import {mergeSpeeds} from './merge_speeds.js';

type RunnerCounts = readonly [number, number, number, number];

/** Sums load digests. */
export function mergeLoadDigests(digests: readonly LoadDigest[]): LoadDigest {
  const runners = new Map<string, RunnerCounts>();
  const rollouts = new Map<string, RolloutDigest>();
  for (const digest of digests) {
    for (const [id, [running, pendingMs, ok, failed]] of Object.entries(
      digest.runners,
    )) {
      const sum = runners.get(id) ?? [0, 0, 0, 0];
      runners.set(id, [
        sum[0] + running,
        sum[1] + pendingMs,
        sum[2] + ok,
        sum[3] + failed,
      ]);
    }
    for (const [service, rollout] of Object.entries(digest.rollouts)) {
      const sum = rollouts.get(service);
      const merged = sum ? mergeRolloutDigests(sum, rollout) : rollout;
      rollouts.set(service, merged);
    }
  }
  const retries = mergeRetryCounts(digests.map(digest => digest.retries));
  const parts = mergePromptParts(digests.map(digest => digest.parts ?? {}));
  const quarantine = mergeQuarantineDigests(
    digests.map(digest => digest.quarantine),
  );
  const partQuarantine = mergePartQuarantineDigests(
    digests.map(digest => digest.partQuarantine),
  );
  const speeds = mergeSpeeds(digests.map(digest => digest.speeds));
  const demand = mergeDemands(digests.map(digest => digest.demand));
  return {
    runners: Object.fromEntries(runners),
    rollouts: Object.fromEntries(rollouts),
    retries,
    speeds,
    parts,
    quarantine,
    partQuarantine,
    ...(demand && {demand}),
  };
}
