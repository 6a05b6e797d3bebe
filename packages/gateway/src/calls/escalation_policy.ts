import {RetryPurpose} from '@bayspool/decisions/calls';
import type {
  CascadeDecision,
  ModelCascade,
  LargestModelForecast,
} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {EscalationRoom} from '../lifecycle/escalation_room.js';
import type {StopAdmission} from '../lifecycle/stop_admission.js';
import type {RunnerDirectory} from '../discovery/runner_directory.js';
import type {EventLog} from '../observability/event_log.js';
import type {GatewayMetrics} from '../observability/gateway_metrics.js';
import type {RunnerChoice} from '../runners/runner_choice.js';
import type {RunnerChooser} from '../runners/runner_chooser.js';
import type {CallProgress} from './call_progress.js';
import {estimateLatencyMs} from './estimate_latency_ms.js';
import type {RetryPolicy} from './retry_policy.js';
import {roundToHundredths} from '../observability/round_to_hundredths.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly directory: RunnerDirectory;
  readonly chooser: RunnerChooser;
  readonly cascade: ModelCascade;
  readonly retryPolicy: RetryPolicy;
  readonly stopAdmission: Pick<StopAdmission, 'weighEscalation'>;
  /** Shortest latency target of a service's routes, in ms. */
  readonly latencyTargetOf: (service: string) => number;
  /** Returns the runner that would get an attempt with this model; undefined if there is none. */
  readonly chooseRunner: (
    progress: CallProgress,
    model: string,
  ) => RunnerChoice | undefined;
}

/** Decides whether a model's response goes to the caller or the call escalates to the largest model. */
export class EscalationPolicy {
  constructor(private readonly options: Options) {}

  /** Whether a response of which the caller has nothing yet is used. */
  acceptsResponse(
    progress: CallProgress,
    confidence: number | undefined,
  ): boolean {
    const {cascade, clock, retryPolicy} = this.options;
    const {call, model} = progress;
    const {route} = call;
    if (model === undefined || route.models.length === 0) return true;
    this.recordConfidence(progress, model, confidence);
    if (model === cascade.largestModel(route)) return true;
    if (!retryPolicy.canEscalate(progress)) return true;
    const largest = this.estimateLargest(progress);
    if (!largest) return true;
    const elapsedMs = clock.now() - call.acceptedAt;
    const tokens = call.prompt?.tokens ?? 0;
    const response = {route, model, confidence, tokens, elapsedMs, largest};
    const decision = cascade.evaluateAnswer(response);
    const room = decision.isUsed ? undefined : this.findRoom(progress);
    // The answer is dropped only once the retry that replaces it is reserved.
    const isUsed =
      decision.isUsed ||
      room?.isEnough === false ||
      retryPolicy.reserveSuccessor(progress, RetryPurpose.IMPROVEMENT) !==
        undefined;
    if (!isUsed) progress.recordEscalation(clock.now());
    this.recordDecision(response, call.id, {...decision, isUsed}, room);
    return isUsed;
  }

  /** Whether a run of the largest model ends before this host stops; undefined if it does not stop. */
  private findRoom({call}: CallProgress): EscalationRoom | undefined {
    const {cascade, metrics, stopAdmission} = this.options;
    const {route} = call;
    const largest = cascade.largestModel(route);
    const room = stopAdmission.weighEscalation(call, largest);
    if (!room) return undefined;
    const {need, isEnough} = room;
    metrics.stopEscalations.inc({
      route: route.name,
      basis: need.basis,
      isEnough: String(isEnough),
    });
    return room;
  }

  /** Keeps a small model's confidence, and pairs it with the largest model's once that is known. */
  private recordConfidence(
    progress: CallProgress,
    model: string,
    confidence: number | undefined,
  ): void {
    const {cascade} = this.options;
    const {smallModelConfidence, call} = progress;
    if (confidence === undefined) return;
    if (model !== cascade.largestModel(call.route))
      progress.smallModelConfidence = confidence;
    else if (smallModelConfidence !== undefined)
      cascade.calibration.recordPair(smallModelConfidence, confidence);
  }

  /** Estimates what an attempt with the largest model would cost; undefined if no runner could take it. */
  private estimateLargest(
    progress: CallProgress,
  ): LargestModelForecast | undefined {
    const {cascade, latencyTargetOf, chooser, directory, chooseRunner} =
      this.options;
    const {route, service} = progress.call;
    const choice = chooseRunner(progress, cascade.largestModel(route));
    if (!choice) return undefined;
    const pendingMs = chooser.computeMeanPendingMs(
      directory.listAcceptingCalls(service),
    );
    return {
      expectedMs: estimateLatencyMs(choice),
      workMs: choice.workMs,
      pressure: pendingMs / latencyTargetOf(service),
    };
  }

  private recordDecision(
    response: Parameters<ModelCascade['evaluateAnswer']>[0],
    request: string,
    {isUsed, goodShare, worthNow, worthLarge}: CascadeDecision,
    room: EscalationRoom | undefined,
  ): void {
    const {log, metrics} = this.options;
    const {route, model, confidence, elapsedMs, largest} = response;
    metrics.evaluatedResponses.inc({route: route.name, isUsed: String(isUsed)});
    log.write('answer_weighed', {
      request,
      model,
      confidence,
      isUsed,
      goodShare: roundToHundredths(goodShare),
      worthNow: roundToHundredths(worthNow),
      worthLarge: roundToHundredths(worthLarge),
      expectedMs: Math.round(largest.expectedMs),
      workMs: Math.round(largest.workMs),
      pressure: roundToHundredths(largest.pressure),
      elapsedMs: Math.round(elapsedMs),
      ...describeRoom(room),
    });
  }
}

function describeRoom(room: EscalationRoom | undefined) {
  if (!room) return {};
  const {need, leftMs} = room;
  const {needMs, basis} = need;
  return {needMs: Math.round(needMs), basis, leftMs: Math.round(leftMs)};
}
