import {LogStatistics} from './log_statistics.js';

/** What is known of a call's length before it is sent. */
interface CallLength {
  readonly route: string;
  /** Output tokens that its caller expects, or else the most that it asked for; undefined if it stated neither. */
  readonly outputTokens?: number;
}

interface OpenCall extends CallLength {
  /** When its request was complete, in ms. */
  readonly since: number;
}

interface ExpectedCall extends CallLength {
  /** The present time on the clock of the open calls; these do not count if it is left out. */
  readonly now?: number;
}

interface EndedCall extends CallLength {
  /** Time from the complete request to the end of its response, in ms. */
  readonly durationMs: number;
}

interface RouteDurations {
  readonly total: LogStatistics;
  /** By output token, of the calls that state a number of these. */
  readonly perToken: LogStatistics;
  readonly open: Set<OpenCall>;
}

/** Routes that are kept; the configuration has fewer, those beyond are of earlier versions of it. */
const MAX_ROUTES = 500;

/**
 * Estimates how long calls take to the end of their responses, by route and length, from those that ended, and from open
 * ones that already take longer: of the calls of a process that has just started, the short ones end first.
 */
export class DurationEstimator {
  private readonly byRoute = new Map<string, RouteDurations>();

  /** Notes that a call is open. @returns a function that ends that */
  begin(call: OpenCall): () => void {
    const {open} = this.durationsOf(call.route);
    open.add(call);
    return () => void open.delete(call);
  }

  /** Learns from a call that was answered completely. */
  record({route, outputTokens, durationMs}: EndedCall): void {
    const {total, perToken} = this.durationsOf(route);
    const ms = Math.max(1, durationMs);
    total.add(ms);
    if (outputTokens !== undefined) perToken.add(ms / outputTokens);
  }

  /**
   * Time that a call of this route and length is not expected to exceed, in ms; undefined until one has ended.
   *
   * @param deviations how sure that is, in standard deviations: one call in 6 exceeds it at 1, one in 740 at 3
   */
  estimateMs(
    {route, outputTokens, now = -Infinity}: ExpectedCall,
    deviations: number,
  ): number | undefined {
    const known = this.byRoute.get(route);
    if (!known) return undefined;
    const open = [...known.open].map(({since, outputTokens: tokens}) => ({
      ageMs: now - since,
      tokens,
    }));
    const total = known.total.extend(open.map(({ageMs}) => ageMs));
    const perToken = known.perToken.extend(
      open.flatMap(({ageMs, tokens}) =>
        tokens === undefined ? [] : [ageMs / tokens],
      ),
    );
    // The length as stated says little where callers ask for far more than they get.
    const isLengthUseful = perToken.variance < total.variance;
    if (outputTokens === undefined || !isLengthUseful)
      return total.estimateUpperBound(deviations);
    const perTokenMs = perToken.estimateUpperBound(deviations);
    return perTokenMs === undefined ? undefined : perTokenMs * outputTokens;
  }

  private durationsOf(route: string): RouteDurations {
    const known = this.byRoute.get(route);
    if (known) return known;
    if (this.byRoute.size >= MAX_ROUTES) this.byRoute.clear();
    const created = {
      total: new LogStatistics(),
      perToken: new LogStatistics(),
      open: new Set<OpenCall>(),
    };
    this.byRoute.set(route, created);
    return created;
  }
}
