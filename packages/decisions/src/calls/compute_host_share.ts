interface Options {
  /** Calls in a window that are shared out, a whole number. */
  readonly calls: number;
  /** Calls with which a runner is of use to a host; smaller parts are not given out. */
  readonly minUsefulCalls: number;
  /** How many hosts share them. */
  readonly hosts: number;
  /** This host's rank among them, from 0; the same at all hosts that know the same ones. */
  readonly rank: number;
}

/**
 * How many calls a host may send in a window of those that all hosts share. The shares of a set of hosts sum to no more than
 * the calls, without a message between them. Where hosts know different sets, each of which holds the one before, only
 * those that the smallest lacks add to that: a host's share never grows with the number of hosts.
 */
export function computeHostShare({
  calls,
  minUsefulCalls: leastCalls,
  hosts,
  rank,
}: Options): number {
  if (calls < 1 || rank < 0 || rank >= hosts) return 0;
  const size = Math.min(leastCalls, calls);
  const parts = Math.floor(calls / size);
  return size * Math.max(0, Math.ceil((parts - rank) / hosts));
}
