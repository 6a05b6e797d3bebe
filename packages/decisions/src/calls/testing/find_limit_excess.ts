/** A request that arrived at a runner. */
interface Arrival {
  /** In ms. */
  readonly at: number;
  /**
   * Time from which the sending host has to respect the limit, in ms; Infinity if it never learned
   * of it.
   */
  readonly boundAt: number;
}

/** A limit declared by a runner, in force until the next one. */
interface LimitDeclaration {
  /** In ms. */
  readonly at: number;
  readonly perSecond: number;
}

interface Options {
  /** All arrivals at one runner, in any order. */
  readonly arrivals: readonly Arrival[];
  /** The limits that it declared, in order and without gaps. */
  readonly limits: readonly LimitDeclaration[];
  /** Time from which it declared no limit any more, in ms. */
  readonly until: number;
  /** Time after the first declaration from which windows are checked, in ms. */
  readonly contactMs: number;
  readonly windowMs: number;
  /** Factor on the declared rate that a window may reach. */
  readonly overage: number;
  /** Requests allowed per window on top of that. */
  readonly slack: number;
}

/** A window in which more requests arrived than allowed. */
interface LimitExcess {
  /** End of the window, in ms. */
  readonly until: number;
  readonly arrived: number;
  readonly allowed: number;
}

const MS_PER_SECOND = 1_000;

/**
 * Finds the window in which the arrivals at a runner exceed its declared limits by most; undefined
 * if none does. Requests that a host sent before it learned of the limit count from the time at
 * which it is bound by it. Arrivals before the first declaration do not count, as no host could
 * know of it.
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
  let declared = 0;
  for (const [index, {at, perSecond}] of limits.entries()) {
    const from = Math.max(end - windowMs, index === 0 ? -Infinity : at);
    const to = Math.min(end, limits[index + 1]?.at ?? Infinity);
    declared += (Math.max(0, to - from) / MS_PER_SECOND) * perSecond;
  }
  return declared * overage + slack;
}

/** Number of arrivals above the allowed one. */
function excessOf(window: LimitExcess | undefined): number {
  return window ? window.arrived - window.allowed : 0;
}
