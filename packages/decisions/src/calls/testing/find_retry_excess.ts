/** A request that arrived at a runner. */
interface Arrival {
  readonly id: string;
  /** In ms. */
  readonly at: number;
}

interface Options {
  /** All arrivals of a service's requests, in any order, including refused ones. */
  readonly arrivals: readonly Arrival[];
  /**
   * Times at which callers sent requests for the service, in ms, in any order, including requests
   * that never arrived.
   */
  readonly sentAt: readonly number[];
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Fixed allowance of retries per window. */
  readonly extra: number;
  readonly windowMs: number;
}

/** A window with more retries than allowed. */
interface RetryExcess {
  /** End of the window, in ms. */
  readonly until: number;
  readonly retries: number;
  readonly allowed: number;
}

/**
 * How much earlier the windows begin whose requests may pay for the retries of a window, in
 * windows.
 */
const EARNING_WINDOW_OFFSETS = [0, 0.5, 1];

/** Smallest difference between two times, in ms. */
const INSTANT_MS = 1e-6;

/**
 * Finds the window in which the retries of a service exceed the allowed number by most; undefined
 * if none does. A retry is any arrival of a request after its first. The allowed number depends on
 * the requests sent in that window, in the one before it or in the one half a window earlier,
 * whichever has most.
 */
export function findRetryExcess(options: Options): RetryExcess | undefined {
  const {arrivals, windowMs} = options;
  const retries = findRetries(arrivals);
  const sentAt = [...options.sentAt].sort((a, b) => a - b);
  let worst: RetryExcess | undefined;
  for (const until of findCandidateEnds(retries, sentAt, windowMs)) {
    const window = {
      until,
      retries: countIn(retries, until - windowMs, until),
      allowed: computeAllowed(sentAt, until, options),
    };
    if (excessOf(window) > Math.max(0, excessOf(worst))) worst = window;
  }
  return worst;
}

/**
 * Ends of the windows that a retry enters or is about to leave, or that a request which would pay
 * for it has just left.
 */
function findCandidateEnds(
  retries: readonly number[],
  sentAt: readonly number[],
  windowMs: number,
): number[] {
  const lastOfRetries = retries.map(at => at + windowMs - INSTANT_MS);
  const withoutRequest = EARNING_WINDOW_OFFSETS.flatMap(windows =>
    sentAt.map(at => at + (1 + windows) * windowMs),
  );
  return [...retries, ...lastOfRetries, ...withoutRequest];
}

/** Number of retries above the allowed one. */
function excessOf(window: RetryExcess | undefined): number {
  return window ? window.retries - window.allowed : 0;
}

/** Times of the arrivals of each request after its first, in order. */
function findRetries(arrivals: readonly Arrival[]): number[] {
  const seen = new Set<string>();
  const inOrder = [...arrivals].sort((a, b) => a.at - b.at);
  const retries: number[] = [];
  for (const {id, at} of inOrder) {
    if (seen.has(id)) retries.push(at);
    seen.add(id);
  }
  return retries;
}

function computeAllowed(
  sentAt: readonly number[],
  until: number,
  {ratio, extra, windowMs}: Options,
): number {
  const counts = EARNING_WINDOW_OFFSETS.map(windows => {
    const end = until - windows * windowMs;
    return countIn(sentAt, end - windowMs, end);
  });
  return ratio * Math.max(...counts) + extra;
}

/** Number of times after `from` and up to `until`. */
function countIn(
  times: readonly number[],
  from: number,
  until: number,
): number {
  return countUpTo(times, until) - countUpTo(times, from);
}

/** Number of the sorted times up to a given one. */
function countUpTo(times: readonly number[], time: number): number {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (times[middle] <= time) low = middle + 1;
    else high = middle;
  }
  return low;
}
