/** A request that arrived at a runner. */
interface Arrival {
  /** The host that sent it to the runner. */
  readonly host: string;
  /** In ms. */
  readonly at: number;
}

/** A response by which a runner rejected a request of a host and asked it to send nothing for some time. */
interface Rejection {
  readonly host: string;
  /** In ms. */
  readonly at: number;
  /** Time that the runner asked for, in ms. */
  readonly restMs: number;
}

interface Options {
  /** All arrivals at one runner, in any order. */
  readonly arrivals: readonly Arrival[];
  /** The rejections of that runner, in any order. */
  readonly rejections: readonly Rejection[];
  /** Time after a rejection until arrivals count, in ms. */
  readonly graceMs: number;
  /** Requests that may arrive from a host in each rest. */
  readonly allowed: number;
}

/** Rests in which a runner got too many requests from the host that it asked for the rest. */
interface RestExcess {
  /** Number of rejections that were followed by too many requests. */
  readonly rejections: number;
  /** Largest number of requests that followed one of them in its rest. */
  readonly arrived: number;
}

/**
 * Finds the rests in which a runner got too many requests from the host that it asked for the
 * rest; undefined if there are none.
 */
export function findRestExcess(options: Options): RestExcess | undefined {
  const {arrivals, rejections, graceMs, allowed} = options;
  const counts = rejections
    .map(
      ({host, at, restMs}) =>
        arrivals.filter(
          arrival =>
            arrival.host === host &&
            arrival.at > at + graceMs &&
            arrival.at < at + restMs,
        ).length,
    )
    .filter(arrived => arrived > allowed);
  if (counts.length === 0) return undefined;
  return {rejections: counts.length, arrived: Math.max(...counts)};
}
