/** A request that arrived at a runner. */
interface Arrival {
  /** The host that sent it to the runner. */
  readonly host: string;
  /** Time at which the caller sent it to the host, in ms. */
  readonly sentAt: number;
}

interface Options {
  /** All arrivals at one runner, in any order. */
  readonly arrivals: readonly Arrival[];
  /**
   * Time at which each host first passed on a response in which the runner said that it leaves, in
   * ms, by host.
   */
  readonly passedOnAt: ReadonlyMap<string, number>;
  /** Time after that from which callers' requests must not reach the runner from that host, in ms. */
  readonly drainMs: number;
}

/** Requests that arrived at a runner although their host had passed on that it leaves. */
interface LeavingExcess {
  readonly arrived: number;
  /** Longest time from passing that on until a request was sent, in ms. */
  readonly latestMs: number;
}

/**
 * Counts the requests that reached a leaving runner although they were sent too late; undefined if
 * there are none. Hosts that never passed on a response that says so may send requests.
 */
export function findLeavingExcess({
  arrivals,
  passedOnAt,
  drainMs,
}: Options): LeavingExcess | undefined {
  const delaysMs = arrivals
    .map(({host, sentAt}) => sentAt - (passedOnAt.get(host) ?? Infinity))
    .filter(delayMs => delayMs > drainMs);
  if (delaysMs.length === 0) return undefined;
  return {
    arrived: delaysMs.length,
    latestMs: Math.round(Math.max(...delaysMs)),
  };
}
