import type {
  CascadeDecision,
  ModelCascade,
  LargestModelForecast,
} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {RunnerDirectory} from '../beliefs/runner_directory.js';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {RunnerChoice} from '../runners/runner_choice.js';
import type {RunnerChooser} from '../runners/runner_chooser.js';
import type {CallProgress} from './call_progress.js';
import {estimateLatencyMs} from './estimate_latency_ms.js';
import type {RetryPolicy} from './retry_policy.js';
import {roundHundredths} from '../observability/round_hundredths.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly directory: RunnerDirectory;
  readonly chooser: RunnerChooser;
  readonly cascade: ModelCascade;
  readonly retryPolicy: RetryPolicy;
  /** The shortest latency target of a service's routes, in ms. */
  readonly latencyTargetOf: (service: string) => number;
  /** The runner that a model's attempt would go to; undefined if there is none. */
  readonly chooseRunner: (
    progress: CallProgress,
    model: string,
  ) => RunnerChoice | undefined;
}

/** Decides whether a model's answer goes to the caller or the largest model is asked instead. */
export class EscalationPolicy {
  constructor(private readonly options: Options) {}

  /** Whether an answer that has not reached the caller is used. */
  acceptsResponse(
    progress: CallProgress,
    confidence: number | undefined,
  ): boolean {
    const {cascade, clock, retryPolicy: repeats} = this.options;
    const {call, model} = progress;
    const {route} = call;
    if (model === undefined || route.models.length === 0) return true;
    this.recordConfidence(progress, model, confidence);
    if (model === cascade.largestModel(route)) return true;
    if (!repeats.canEscalate(progress)) return true;
    const largest = this.estimateLargest(progress);
    if (!largest) return true;
    const elapsedMs = clock.now() - call.acceptedAt;
    const tokens = call.prompt?.tokens ?? 0;
    const answer = {route, model, confidence, tokens, elapsedMs, largest};
    const weighing = cascade.evaluateAnswer(answer);
    this.recordDecision(answer, call.id, weighing);
    return weighing.isUsed;
  }

  /** Remembers a small model's opinion, and learns from it once the largest one tells its own. */
  private recordConfidence(
    progress: CallProgress,
    model: string,
    confidence: number | undefined,
  ): void {
    const {cascade} = this.options;
    const {smallModelConfidence: smallOpinion, call} = progress;
    if (confidence === undefined) return;
    if (model !== cascade.largestModel(call.route))
      progress.smallModelConfidence = confidence;
    else if (smallOpinion !== undefined)
      cascade.calibration.recordPair(smallOpinion, confidence);
  }

  /** What asking the largest model would mean; undefined if no runner could take the call. */
  private estimateLargest(
    progress: CallProgress,
  ): LargestModelForecast | undefined {
    const {
      cascade,
      latencyTargetOf: targetOf,
      chooser,
      directory,
      chooseRunner: choose,
    } = this.options;
    const {route, service} = progress.call;
    const choice = choose(progress, cascade.largestModel(route));
    if (!choice) return undefined;
    const pendingMs = chooser.computeMeanPendingMs(directory.takersOf(service));
    return {
      expectedMs: estimateLatencyMs(choice),
      workMs: choice.workMs,
      pressure: pendingMs / targetOf(service),
    };
  }

  private recordDecision(
    answer: Parameters<ModelCascade['evaluateAnswer']>[0],
    request: string,
    {isUsed, goodShare, worthNow, worthLarge}: CascadeDecision,
  ): void {
    const {log, metrics} = this.options;
    const {route, model, confidence, elapsedMs, largest} = answer;
    metrics.weighedAnswers.inc({route: route.name, isUsed: String(isUsed)});
    log.write('answer_weighed', {
      request,
      model,
      confidence,
      isUsed,
      goodShare: roundHundredths(goodShare),
      worthNow: roundHundredths(worthNow),
      worthLarge: roundHundredths(worthLarge),
      expectedMs: Math.round(largest.expectedMs),
      workMs: Math.round(largest.workMs),
      pressure: roundHundredths(largest.pressure),
      elapsedMs: Math.round(elapsedMs),
    });
  }
}
