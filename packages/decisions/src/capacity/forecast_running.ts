interface Options {
  /** Requests of other hosts at a runner, as last reported. */
  readonly reported: number;
  /** Requests that they would have there if they were spread evenly. */
  readonly even: number;
  /** Age of the report, in ms. */
  readonly ageMs: number;
  /** Mean time for which such a request is there, in ms. */
  readonly durationMs: number;
}

/**
 * Forecasts the requests of other hosts at a runner. Of those reported, a share that falls with the age is still there,
 * and the rest has been replaced by others, wherever these went. Hosts that believed an old report would all choose
 * the same runners.
 */
export function forecastRunning({
  reported,
  even,
  ageMs,
  durationMs,
}: Options): number {
  if (durationMs <= 0) return reported;
  const known = Math.max(0, 1 - ageMs / durationMs);
  return even + known * (reported - even);
}
