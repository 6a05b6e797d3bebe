import {LogStatistics} from './log_statistics.js';
import {RecentMaximum} from './recent_maximum.js';

/** What is known of a call's length before it is sent. */
interface CallLength {
  readonly route: string;
  /** Output tokens that its caller expects, or else the most that it asked for; undefined if it stated neither. */
  readonly outputTokens?: number;
}

interface EndedCall extends CallLength {
  /** Time from the complete request to the end of its response, in ms. */
  readonly durationMs: number;
}

/** Durations of calls, or what these take by output token. */
interface Durations {
  readonly statistics: LogStatistics;
  readonly longest: RecentMaximum;
}

interface RouteDurations {
  readonly total: Durations;
  /** Of the calls that state a number of output tokens. */
  readonly perToken: Durations;
}

/** Standard deviations above the mean: of durations alike, one in 40 exceeds the estimate. */
const DEVIATIONS = 2;
/** Standard deviation that is assumed at least: calls that were all alike may take half as long again as runners fill up. */
const MIN_DEVIATION = Math.log(1.5) / DEVIATIONS;
/** Routes that are kept; the configuration has fewer, those beyond are of earlier versions of it. */
const MAX_ROUTES = 500;

/** Estimates how long calls take to the end of their responses, by route and length, from those that ended. */
export class DurationEstimator {
  private readonly byRoute = new Map<string, RouteDurations>();

  /** Learns from a call that was answered completely. */
  record({route, outputTokens, durationMs}: EndedCall): void {
    const {total, perToken} = this.durationsOf(route);
    const ms = Math.max(1, durationMs);
    add(total, ms);
    if (outputTokens !== undefined) add(perToken, ms / outputTokens);
  }

  /** Time that few calls of this route and length exceed, in ms; undefined until one has ended. */
  estimateMs({route, outputTokens}: CallLength): number | undefined {
    const known = this.byRoute.get(route);
    if (!known) return undefined;
    const {total, perToken} = known;
    // The length as stated says little where callers ask for far more than they get.
    const isLengthUseful =
      perToken.statistics.variance < total.statistics.variance;
    if (outputTokens === undefined || !isLengthUseful)
      return estimateUpperBound(total);
    const perTokenMs = estimateUpperBound(perToken);
    return perTokenMs === undefined ? undefined : perTokenMs * outputTokens;
  }

  private durationsOf(route: string): RouteDurations {
    const known = this.byRoute.get(route);
    if (known) return known;
    if (this.byRoute.size >= MAX_ROUTES) this.byRoute.clear();
    const created = {total: createDurations(), perToken: createDurations()};
    this.byRoute.set(route, created);
    return created;
  }
}

function createDurations(): Durations {
  return {statistics: new LogStatistics(), longest: new RecentMaximum()};
}

function add({statistics, longest}: Durations, sample: number): void {
  statistics.add(sample);
  longest.add(sample);
}

/** The statistics miss the long ones where most are short and few are many times as long. */
function estimateUpperBound({
  statistics,
  longest,
}: Durations): number | undefined {
  const bound = statistics.estimateUpperBound(DEVIATIONS, MIN_DEVIATION);
  return bound && Math.max(bound, longest.value);
}
