interface Options {
  /** Recent requests a second that this host was asked for. */
  readonly ownDemand: number;
  /** The same over all hosts that this one hears of, itself included. */
  readonly totalDemand: number;
  /** How many hosts this one hears of, itself included. */
  readonly aliveHosts: number;
  /** All hosts of the fleet, living or cut off. */
  readonly fleetHosts: number;
}

/** The part that is spread evenly, so that a host with no demand yet can begin. */
const EVEN_SHARE = 0.2;

/**
 * This host's part of a limit, 0 to 1. Hosts with the same view share by demand.
 * A group that is cut off from the rest shares only its own part of the limit,
 * so the parts of all groups together never pass the whole.
 */
export function computeLimitShare(options: Options): number {
  const {ownDemand, totalDemand, fleetHosts: fleet} = options;
  const living = Math.max(1, options.aliveHosts);
  const group = Math.min(1, living / Math.max(living, fleet));
  const byDemand = totalDemand > 0 ? ownDemand / totalDemand : 1 / living;
  return group * (EVEN_SHARE / living + (1 - EVEN_SHARE) * byDemand);
}
