import {computePrefillTokens} from './compute_prefill_tokens.js';
import type {CallWork} from './call_work.js';
import type {ServiceTime} from './service_time.js';
import {SlownessNormalizer} from './slowness_normalizer.js';

/** What is known of a call with a prompt before a runner is chosen. */
interface EngineCall {
  readonly route: string;
  readonly promptTokens: number;
  /** Prefill time of the call's model, in ms per token. */
  readonly msPerToken: number;
  /** Maximum of output tokens, if the caller stated it. */
  readonly maxOutputTokens?: number;
  /** The caller's estimate of the output tokens, if it stated one. */
  readonly lengthHint?: number;
}

interface RouteStatistics {
  readonly normalizer: SlownessNormalizer;
  samples: number;
  meanMs: number;
  meanLog: number;
  logVariance: number;
  unreadShare: number;
  /** Mean and variance of the logarithm of actual over hinted output tokens. */
  hintLog: number;
  hintVariance: number;
  meanOutputTokens: number;
}

/** Weight of one sample once there are many; the first ones count as a plain mean. */
const MIN_SAMPLE_WEIGHT = 0.05;
/** Variance that is assumed before samples: about that of an exponential distribution. */
const INITIAL_VARIANCE = 1;
/** Output that is assumed for a route without hints, maximum and samples, in tokens. */
const DEFAULT_OUTPUT_TOKENS = 100;
/** Routes that are kept; the configuration has fewer, those beyond are of earlier versions of it. */
const MAX_ROUTES = 500;

/** Estimates what calls need, by route, from what earlier calls took. */
export class WorkEstimator {
  private readonly byRoute = new Map<string, RouteStatistics>();

  /** Learned slot time of a route's calls; undefined until measured. */
  getServiceTime(route: string): ServiceTime | undefined {
    const known = this.byRoute.get(route);
    if (!known || known.samples === 0) return undefined;
    const {meanMs, meanLog, logVariance} = known;
    return {meanMs, medianMs: Math.exp(meanLog), logVariance};
  }

  /** Estimates a call to a plain runner. */
  estimatePlain(route: string): CallWork {
    const workMs = this.byRoute.get(route)?.meanMs ?? 0;
    return {workMs, outputTokens: 0, memoryTokens: 0};
  }

  /** Estimates a call to an engine: the prefill of what is probably not cached, and its whole length. */
  estimateEngine(call: EngineCall): CallWork {
    const {promptTokens, msPerToken, route} = call;
    const unreadShare = this.byRoute.get(route)?.unreadShare ?? 1;
    const outputTokens = this.estimateOutput(call);
    return {
      workMs:
        computePrefillTokens(promptTokens * unreadShare, promptTokens) *
        msPerToken,
      outputTokens,
      memoryTokens: promptTokens + outputTokens,
    };
  }

  /**
   * Records the time of a whole response of a plain runner that had a free slot.
   *
   * @param slowness of the runner before this response
   */
  recordServiceTime(route: string, tookMs: number, slowness: number): void {
    const known = this.statisticsOf(route);
    const nominalMs = known.normalizer.normalize(Math.max(1, tookMs), slowness);
    known.samples += 1;
    const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / known.samples);
    const error = Math.log(nominalMs) - known.meanLog;
    known.meanMs += weight * (nominalMs - known.meanMs);
    known.meanLog += weight * error;
    // The first error is that of the initial value.
    if (known.samples > 1)
      known.logVariance += weight * (error * error - known.logVariance);
  }

  /** Records how much of a prompt the chosen runner had to read. */
  recordUnread(
    route: string,
    unreadTokens: number,
    promptTokens: number,
  ): void {
    const known = this.statisticsOf(route);
    const share = unreadTokens / Math.max(1, promptTokens);
    known.unreadShare += MIN_SAMPLE_WEIGHT * (share - known.unreadShare);
  }

  /** Records the length of a whole response, and the caller's estimate of it. */
  recordOutput(route: string, tokens: number, lengthHint?: number): void {
    const known = this.statisticsOf(route);
    known.meanOutputTokens +=
      MIN_SAMPLE_WEIGHT * (tokens - known.meanOutputTokens);
    if (lengthHint === undefined) return;
    const error =
      Math.log(Math.max(1, tokens) / Math.max(1, lengthHint)) - known.hintLog;
    known.hintLog += MIN_SAMPLE_WEIGHT * error;
    known.hintVariance +=
      MIN_SAMPLE_WEIGHT * (error * error - known.hintVariance);
  }

  /**
   * The mean of what a hint stands for: hints are right at the median, which is below the mean. Without a hint the
   * maximum counts, as too small an estimate makes an engine preempt requests.
   */
  private estimateOutput({
    route,
    maxOutputTokens,
    lengthHint,
  }: EngineCall): number {
    const known = this.byRoute.get(route);
    if (lengthHint === undefined)
      return (
        maxOutputTokens ?? known?.meanOutputTokens ?? DEFAULT_OUTPUT_TOKENS
      );
    const factor = known ? Math.exp(known.hintLog + known.hintVariance / 2) : 1;
    const meanTokens = lengthHint * Math.max(1, factor);
    return Math.min(maxOutputTokens ?? Infinity, meanTokens);
  }

  private statisticsOf(route: string): RouteStatistics {
    const known = this.byRoute.get(route);
    if (known) return known;
    if (this.byRoute.size >= MAX_ROUTES) this.byRoute.clear();
    const created = {
      normalizer: new SlownessNormalizer(),
      samples: 0,
      meanMs: 0,
      meanLog: 0,
      logVariance: INITIAL_VARIANCE,
      unreadShare: 1,
      hintLog: 0,
      hintVariance: 0,
      meanOutputTokens: DEFAULT_OUTPUT_TOKENS,
    };
    this.byRoute.set(route, created);
    return created;
  }
}
