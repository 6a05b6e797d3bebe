import type {DurationSummary} from './duration_summary.js';
import {LogStatistics} from './log_statistics.js';
import {RecentMaximum} from './recent_maximum.js';
import type {RouteDurationSummary} from './route_duration_summary.js';

/** What is known of a call's length before it is sent. */
interface CallLength {
  /** The route, or one of its models, see `durationKeyOf`. */
  readonly route: string;
  /** Output tokens that its caller expects, or else the most that it asked for; undefined if it stated neither. */
  readonly outputTokens?: number;
}

interface EndedCall extends CallLength {
  /** Time from the complete request, or from when the call was given to the model, to the end of its response, in ms. */
  readonly durationMs: number;
}

/** Durations of calls, or what these take by output token. */
interface Durations {
  readonly statistics: LogStatistics;
  readonly longest: {readonly value: number};
}

/** Durations of calls that ended here. */
interface OwnDurations extends Durations {
  readonly longest: RecentMaximum;
}

interface RouteDurations<D extends Durations = Durations> {
  readonly total: D;
  /** Of the calls that state a number of output tokens. */
  readonly perToken: D;
}

type DurationEstimate = (durations: Durations) => number | undefined;

/** Standard deviations above the mean that five of six calls don't exceed, and 739 of 740. */
const USUAL_DEVIATIONS = 1;
const LONG_DEVIATIONS = 3;
/** Ended calls from which on their durations are taken for those of all: of a process that was just started, the short ones end first. */
const MIN_CALLS = 20;
/** Calls that ended here from which on those of other hosts no longer count: the long ones of a host that was just started are still open. */
const MIN_OWN_CALLS = 100;
/** How many times the longest recent call a call may be expected to take. */
const MAX_OF_LONGEST = 2;
/** Routes and models of them that are kept; the configuration has fewer, those beyond are of earlier versions of it. */
const MAX_ROUTES = 1_000;

/**
 * Estimates how long calls take to the end of their responses, by route, model and length, from those that ended: here, or at
 * another host until many have ended here.
 */
export class DurationEstimator {
  private readonly byRoute = new Map<string, RouteDurations<OwnDurations>>();
  /** What other hosts told of routes; kept apart, so that nothing that was told comes back as this host's own. */
  private readonly borrowedByRoute = new Map<string, RouteDurations>();

  /** Learns from a call that was answered completely. */
  record({route, outputTokens, durationMs}: EndedCall): void {
    const {total, perToken} = this.durationsOf(route);
    const ms = Math.max(1, durationMs);
    add(total, ms);
    if (outputTokens !== undefined)
      add(perToken, ms / Math.max(1, outputTokens));
  }

  /** Whether so many calls of a route have ended here that those of other hosts no longer count. */
  isKnown(route: string): boolean {
    const known = this.byRoute.get(route);
    return known !== undefined && known.total.statistics.count >= MIN_OWN_CALLS;
  }

  /** Whether what another host told counts in the estimates of a route. */
  isBorrowed(route: string): boolean {
    return !this.isKnown(route) && this.borrowedByRoute.has(route);
  }

  /** Describes the calls of a route that ended here; undefined until enough have ended. */
  summarize(route: string): RouteDurationSummary | undefined {
    const known = this.byRoute.get(route);
    if (!known || !isEnough(known.total)) return undefined;
    const {total, perToken} = known;
    const tokenSummary = isEnough(perToken) ? summarize(perToken) : undefined;
    const count = Math.min(MIN_OWN_CALLS, total.statistics.count);
    return {route, count, total: summarize(total), perToken: tokenSummary};
  }

  /** Takes what another host tells of a route in place of what was told before; used until many calls have ended here. */
  borrow({route, total, perToken}: RouteDurationSummary): void {
    const {borrowedByRoute} = this;
    const isFull = borrowedByRoute.size >= MAX_ROUTES;
    if (isFull && !borrowedByRoute.has(route)) borrowedByRoute.clear();
    borrowedByRoute.set(route, {
      total: restore(total),
      perToken: perToken ? restore(perToken) : createDurations(),
    });
  }

  /** Forgets what another host told of a route. */
  forgetBorrowed(route: string): void {
    this.borrowedByRoute.delete(route);
  }

  /** Time that most calls of this route and length don't exceed, in ms; undefined until one has ended. */
  estimateUsualMs(call: CallLength): number | undefined {
    return this.estimate(call, ({statistics}) =>
      statistics.estimateUpperBound(USUAL_DEVIATIONS),
    );
  }

  /** Time that hardly any call of this route and length exceeds, in ms; undefined until enough have ended. */
  estimateLongMs(call: CallLength): number | undefined {
    return this.estimate(call, ({statistics, longest}) => {
      if (!isEnough({statistics, longest})) return undefined;
      const bound = statistics.estimateUpperBound(LONG_DEVIATIONS);
      // The deviation tells too little where few are many times as long as the others, and too much where few are very short.
      const {value} = longest;
      return bound && clamp(bound, value, MAX_OF_LONGEST * value);
    });
  }

  /** Estimates from the calls of another host as long as few have ended here; once enough have, the larger counts. */
  private estimate(
    call: CallLength,
    estimateFrom: DurationEstimate,
  ): number | undefined {
    const {route} = call;
    const known = this.byRoute.get(route);
    const own = estimateLength(call, known, estimateFrom);
    if (!this.isBorrowed(route)) return own;
    const borrowed = this.borrowedByRoute.get(route);
    const other = estimateLength(call, borrowed, estimateFrom);
    if (other === undefined) return own;
    const isOwnEnough = known !== undefined && isEnough(known.total);
    return isOwnEnough ? Math.max(other, own ?? 0) : other;
  }

  private durationsOf(route: string): RouteDurations<OwnDurations> {
    const known = this.byRoute.get(route);
    if (known) return known;
    if (this.byRoute.size >= MAX_ROUTES) this.byRoute.clear();
    const created = {total: createDurations(), perToken: createDurations()};
    this.byRoute.set(route, created);
    return created;
  }
}

function estimateLength(
  {outputTokens}: CallLength,
  known: RouteDurations | undefined,
  estimateFrom: DurationEstimate,
): number | undefined {
  if (!known) return undefined;
  const {total, perToken} = known;
  // The length as stated says little where callers ask for far more than they get.
  const isLengthUseful =
    isEnough(perToken) &&
    perToken.statistics.variance < total.statistics.variance;
  if (outputTokens === undefined || !isLengthUseful) return estimateFrom(total);
  const perTokenMs = estimateFrom(perToken);
  return perTokenMs && perTokenMs * Math.max(1, outputTokens);
}

function createDurations(): OwnDurations {
  return {statistics: new LogStatistics(), longest: new RecentMaximum()};
}

function isEnough({statistics}: Durations): boolean {
  return statistics.count >= MIN_CALLS;
}

function summarize({statistics, longest}: Durations): DurationSummary {
  return {
    logMean: statistics.mean,
    logVariance: statistics.variance,
    longestMs: longest.value,
  };
}

function restore({
  logMean,
  logVariance,
  longestMs,
}: DurationSummary): Durations {
  const samples = {count: MIN_CALLS, mean: logMean, variance: logVariance};
  return {statistics: new LogStatistics(samples), longest: {value: longestMs}};
}

function clamp(value: number, least: number, most: number): number {
  return Math.min(Math.max(value, least), most);
}

function add({statistics, longest}: OwnDurations, sample: number): void {
  statistics.add(sample);
  longest.add(sample);
}
