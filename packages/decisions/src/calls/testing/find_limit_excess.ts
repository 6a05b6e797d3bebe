/** A request that arrived at a runner. */
interface Arrival {
  /** In ms. */
  readonly at: number;
  /** From when the host that sent it has to keep to the limit, in ms; Infinity if it never heard of it. */
  readonly boundAt: number;
}

/** A limit that a runner named, until the next one. */
interface LimitDeclaration {
  /** In ms. */
  readonly at: number;
  readonly perSecond: number;
}

interface Options {
  /** All arrivals at one runner, in any order. */
  readonly arrivals: readonly Arrival[];
  /** What it named, in order, without a pause between. */
  readonly limits: readonly LimitDeclaration[];
  /** When it named no limit any more, in ms. */
  readonly until: number;
  /** Time after the first naming from which windows are held against the limit, in ms. */
  readonly contactMs: number;
  readonly windowMs: number;
  /** Requests allowed in a window: what was named times this, */
  readonly overage: number;
  /** and so many besides. */
  readonly slack: number;
}

/** A window in which more requests arrived than the runner takes. */
interface LimitExcess {
  /** End of the window, in ms. */
  readonly until: number;
  readonly arrived: number;
  readonly allowed: number;
}

const MS_PER_SECOND = 1_000;

/**
 * The window in which the arrivals at a runner exceed what it named by most; undefined if none does. What a host sent
 * before it knew counts as soon as it is bound; what arrived before the first limit was named, when no host could know, doesn't.
 */
export function findLimitExcess(options: Options): LimitExcess | undefined {
  const {arrivals, limits, until, contactMs, windowMs} = options;
  const first = limits[0].at + contactMs;
  const ends = arrivals
    .flatMap(({at, boundAt}) => [at, Math.max(at, boundAt), first])
    .filter(end => end >= first && end <= until);
  let worst: LimitExcess | undefined;
  for (const end of new Set(ends)) {
    const arrived = arrivals.filter(
      ({at, boundAt}) =>
        at > Math.max(end - windowMs, limits[0].at) &&
        at <= end &&
        boundAt <= end,
    ).length;
    const window = {until: end, arrived, allowed: computeAllowed(end, options)};
    if (excessOf(window) > Math.max(0, excessOf(worst))) worst = window;
  }
  return worst;
}

function computeAllowed(
  end: number,
  {limits, windowMs, overage, slack}: Options,
): number {
  let named = 0;
  for (const [index, {at, perSecond}] of limits.entries()) {
    const from = Math.max(end - windowMs, index === 0 ? -Infinity : at);
    const to = Math.min(end, limits[index + 1]?.at ?? Infinity);
    named += (Math.max(0, to - from) / MS_PER_SECOND) * perSecond;
  }
  return named * overage + slack;
}

/** How many arrivals there were over those that are allowed. */
function excessOf(window: LimitExcess | undefined): number {
  return window ? window.arrived - window.allowed : 0;
}
