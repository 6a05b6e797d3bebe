interface Options {
  /** Time since the order, in ms. */
  readonly elapsedMs: number;
  readonly durationMs: number;
  /** Whether the call belongs to a session. */
  readonly hasSession: boolean;
}

/** Share of the calls that a new version gets while it is watched. */
const WATCHED_SHARE = 0.08;
/**
 * Part of the duration before which no session is on the new version: sessions may move from half of it on, and
 * a host that doesn't know a session cannot tell whether it is new. Given to 0.08 of the sessions that a host
 * did not know, the new version got 19 of 200 that ran on the old one at another host (test of two hosts).
 * Hosts learn of an order later than it was made, so the margin over half only covers clocks that drift.
 */
const SESSIONS_PART = 0.52;
/** Part of the duration up to which the share stays: time for evidence from the first sessions. */
const WATCHED_PART = 0.62;
/** Part of the duration after which all calls go to the new version. */
const WHOLE_PART = 0.74;

/**
 * The share of a service's calls that the new version of a roll-out gets, 0 to 1; never falls. It depends on
 * nothing that one host knows and another does not, so a session gets the same version at each of them.
 */
export function rolloutShare({
  elapsedMs,
  durationMs,
  hasSession,
}: Options): number {
  const part = elapsedMs / durationMs;
  if (hasSession && part < SESSIONS_PART) return 0;
  if (part < WATCHED_PART) return WATCHED_SHARE;
  if (part >= WHOLE_PART) return 1;
  const ramp = (part - WATCHED_PART) / (WHOLE_PART - WATCHED_PART);
  return WATCHED_SHARE + (1 - WATCHED_SHARE) * ramp;
}
