interface Options {
  /** Time since the order, in ms. */
  readonly elapsedMs: number;
  readonly durationMs: number;
}

/** Share of the calls that a new version gets while it is watched. */
const WATCHED_SHARE = 0.08;
/** Part of the duration in which the share stays: sessions may not move before half of it. */
const WATCHED_PART = 0.52;
/** Part of the duration after which all calls go to the new version. */
const WHOLE_PART = 0.68;

/** The share of a service's sessions that the new version of a roll-out gets, 0 to 1; never falls. */
export function rolloutShare({elapsedMs, durationMs}: Options): number {
  const part = elapsedMs / durationMs;
  if (part < WATCHED_PART) return WATCHED_SHARE;
  if (part >= WHOLE_PART) return 1;
  const ramp = (part - WATCHED_PART) / (WHOLE_PART - WATCHED_PART);
  return WATCHED_SHARE + (1 - WATCHED_SHARE) * ramp;
}
