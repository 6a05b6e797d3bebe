interface Options {
  /** Calls per window that are shared; a whole number. */
  readonly calls: number;
  /**
   * Minimum number of calls with which a runner is useful to a host; smaller shares are not given
   * out.
   */
  readonly minUsefulCalls: number;
  /** Number of hosts that share the calls. */
  readonly hosts: number;
  /** Rank of this host among them, from 0; the same on all hosts with the same membership. */
  readonly rank: number;
}

/**
 * Computes how many of the calls shared by all hosts one host may send per window. The shares of a
 * set of hosts add up to no more than the calls, without any communication. If hosts know different
 * sets that each contain the previous one, only the hosts missing from the smallest set add to
 * that, since a host's share never grows with the number of hosts.
 */
export function computeHostShare({
  calls,
  minUsefulCalls,
  hosts,
  rank,
}: Options): number {
  if (calls < 1 || rank < 0 || rank >= hosts) return 0;
  const size = Math.min(minUsefulCalls, calls);
  const parts = Math.floor(calls / size);
  return size * Math.max(0, Math.ceil((parts - rank) / hosts));
}
