/** Where a stopping host takes from how long a call needs; the texts appear in logs and metrics. */
const NeedBasis = {
  /** Calls of the route that ended at this host. */
  DURATIONS: 'durations',
  /** Calls of the route that ended at another host, and the few that ended at this one. */
  OTHER_HOST: 'other host',
  /** The call's time limit ends before. */
  TIME_LIMIT: 'time limit',
  /** Another host takes the caller: only the call's time limit counts. */
  OTHERS_SERVE: 'others serve',
  /** Too few calls of the route have ended: the time limit counts, or nothing while callers are still sent here. */
  UNKNOWN: 'unknown',
} as const;
type NeedBasis = (typeof NeedBasis)[keyof typeof NeedBasis];

export {NeedBasis};
