/** A request that arrived at a runner. */
interface Arrival {
  readonly id: string;
  /** In ms. */
  readonly at: number;
}

interface Options {
  /** All arrivals of a service's requests, in any order; also those that were turned away. */
  readonly arrivals: readonly Arrival[];
  /** When callers sent a request for the service, in ms, in any order; also those that never arrived. */
  readonly sentAt: readonly number[];
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Retries allowed besides. */
  readonly extra: number;
  readonly windowMs: number;
}

/** A window in which there were more retries than are allowed. */
interface RetryExcess {
  /** End of the window, in ms. */
  readonly until: number;
  readonly retries: number;
  readonly allowed: number;
}

/** Windows whose requests may pay for a window's retries begin this much earlier, in windows. */
const EARNING_WINDOW_OFFSETS = [0, 0.5, 1];

/** Least difference between two times, in ms. */
const INSTANT_MS = 1e-6;

/**
 * The window in which the retries of a service exceed what is allowed by most; undefined if none does. A retry is an
 * arrival beyond the first of its request. What is allowed goes by the requests sent in that window, the one before it
 * or the one half a window earlier, whichever had most.
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

/** Ends of the windows at which a retry comes in or is still in, or a request that would pay for it is so no more. */
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

/** How many retries there were over those that are allowed. */
function excessOf(window: RetryExcess | undefined): number {
  return window ? window.retries - window.allowed : 0;
}

/** Times of the arrivals beyond the first of each request, in order. */
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

/** How many of the times lie after `from` and not after `until`. */
function countIn(
  times: readonly number[],
  from: number,
  until: number,
): number {
  return countUpTo(times, until) - countUpTo(times, from);
}

/** How many of the times, which are in order, are not after one. */
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
