interface Options {
  /** Recent requests per second that this host received. */
  readonly ownDemand: number;
  /** The same over all hosts that this host considers alive, itself included. */
  readonly totalDemand: number;
  /** Number of hosts that this host considers alive, itself included. */
  readonly aliveHosts: number;
  /** Number of hosts in the fleet, reachable or not. */
  readonly fleetHosts: number;
}

/** Fraction of the limit that is divided evenly, so that a host without demand yet can admit its first requests. */
const EVEN_SHARE = 0.2;

/**
 * Computes this host's share of a limit, 0 to 1. Hosts with the same membership view share by demand.
 * During a network partition, each group of hosts shares only its own fraction of the limit, so the
 * shares of all groups together never exceed the limit.
 */
export function computeLimitShare(options: Options): number {
  const {ownDemand, totalDemand, fleetHosts} = options;
  const aliveHosts = Math.max(1, options.aliveHosts);
  const groupShare = Math.min(1, aliveHosts / Math.max(aliveHosts, fleetHosts));
  const demandShare =
    totalDemand > 0 ? ownDemand / totalDemand : 1 / aliveHosts;
  return (
    groupShare * (EVEN_SHARE / aliveHosts + (1 - EVEN_SHARE) * demandShare)
  );
}
