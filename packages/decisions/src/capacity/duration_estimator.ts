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

/** Standard deviations above the mean that five of six calls don't exceed, and 739 of 740. */
const USUAL_DEVIATIONS = 1;
const LONG_DEVIATIONS = 3;
/** Ended calls from which on their durations are taken for those of all: of a process that was just started, the short ones end first. */
const MIN_CALLS = 20;
/** How many times the longest recent call a call may be expected to take. */
const MAX_OF_LONGEST = 2;
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
    if (outputTokens !== undefined)
      add(perToken, ms / Math.max(1, outputTokens));
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
      if (statistics.count < MIN_CALLS) return undefined;
      const bound = statistics.estimateUpperBound(LONG_DEVIATIONS);
      // The deviation tells too little where few are many times as long as the others, and too much where few are very short.
      const {value} = longest;
      return bound && clamp(bound, value, MAX_OF_LONGEST * value);
    });
  }

  private estimate(
    {route, outputTokens}: CallLength,
    estimateFrom: (durations: Durations) => number | undefined,
  ): number | undefined {
    const known = this.byRoute.get(route);
    if (!known) return undefined;
    const {total, perToken} = known;
    // The length as stated says little where callers ask for far more than they get.
    const isLengthUseful =
      perToken.statistics.count >= MIN_CALLS &&
      perToken.statistics.variance < total.statistics.variance;
    if (outputTokens === undefined || !isLengthUseful)
      return estimateFrom(total);
    const perTokenMs = estimateFrom(perToken);
    return perTokenMs && perTokenMs * Math.max(1, outputTokens);
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

function clamp(value: number, least: number, most: number): number {
  return Math.min(Math.max(value, least), most);
}

function add({statistics, longest}: Durations, sample: number): void {
  statistics.add(sample);
  longest.add(sample);
}
