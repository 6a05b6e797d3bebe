import {
  countHostsAtOffset,
  type Configuration,
  type Membership,
  type IntentVerdict,
} from '@bayspool/decisions';
import type {PlaceProgress} from './place_progress.js';

interface Options {
  readonly config: Configuration;
  readonly membership: Membership;
  readonly verdict: IntentVerdict;
}

/** The body of `GET /intents/ID`. */
interface IntentStatus extends IntentVerdict {
  readonly places: readonly PlaceProgress[];
  /** Running requests that have to finish before the intent is done. */
  readonly running: number;
  readonly done: boolean;
  readonly waits_for: readonly string[];
}

/** Computes the progress of an intent: where it is in force, what still runs and what it waits for. */
export function createIntentStatus(options: Options): IntentStatus {
  const {config, membership, verdict} = options;
  const places = verdict.accepted
    ? createPlaceProgress(config, membership, verdict.offset)
    : [];
  const running = verdict.accepted ? countRunningRequests(options) : 0;
  const reasons = [
    ...places.flatMap(describePlaceWaits),
    ...describeRequestWaits(verdict, running),
    ...describeRolloutWaits(config, verdict),
  ];
  return {
    ...verdict,
    places,
    running,
    done: verdict.accepted ? reasons.length === 0 : true,
    waits_for: reasons,
  };
}

function createPlaceProgress(
  config: Configuration,
  membership: Membership,
  offset: number,
): PlaceProgress[] {
  const ages = membership.computePlaceAges();
  const digests = new Map(
    [membership.createOwnDigest(), ...membership.listDigests()].map(digest => [
      digest.place,
      digest,
    ]),
  );
  const expected = Object.values(config.places)
    .filter(place => place.entry)
    .map(place => place.id);
  const names = [...new Set([...expected, ...Object.keys(ages)])].sort();
  return names.map(place => {
    const digest = digests.get(place);
    const hosts = digest?.hosts ?? [];
    return {
      place,
      hosts: hosts.length,
      hosts_in_force: digest ? countHostsAtOffset(digest, offset) : 0,
      heard_ms_ago: Math.round(ages[place] ?? -1),
      cut_off: !digests.has(place),
    };
  });
}

function describePlaceWaits(progress: PlaceProgress): string[] {
  if (progress.cut_off)
    return [`place ${progress.place} has not been heard of`];
  const behind = progress.hosts - progress.hosts_in_force;
  return behind > 0
    ? [`${behind} hosts of ${progress.place} to put it in force`]
    : [];
}

/** Counts the requests that have to finish before a handed-over place or a drained host is empty. */
function countRunningRequests({config, membership, verdict}: Options): number {
  const digests = [membership.createOwnDigest(), ...membership.listDigests()];
  if (
    verdict.kind === 'hand-over-place' &&
    config.places[verdict.subject]?.handedOverTo
  ) {
    return digests.reduce(
      (sum, digest) => sum + (digest.sums.running[verdict.subject] ?? 0),
      0,
    );
  }
  if (
    verdict.kind === 'drain-host' &&
    config.drained[`host/${verdict.subject}`]
  ) {
    const entry = membership.get(verdict.subject);
    return Object.values(entry?.running ?? {}).reduce(
      (sum, count) => sum + count,
      0,
    );
  }
  return 0;
}

function describeRequestWaits(
  verdict: IntentVerdict,
  running: number,
): string[] {
  return running > 0
    ? [`${running} running requests at ${verdict.subject} to finish`]
    : [];
}

function describeRolloutWaits(
  config: Configuration,
  verdict: IntentVerdict,
): string[] {
  if (verdict.kind !== 'roll-out' || !verdict.accepted) return [];
  const version = config.versions[verdict.subject];
  if (version?.suspect !== undefined)
    return [`an operator: ${version.id} was halted: ${version.suspect}`];
  if (!version?.rollOut) return [];
  return [
    `the gate at step ${version.rollOut.step + 1} of ${version.rollOut.steps.length}`,
  ];
}
