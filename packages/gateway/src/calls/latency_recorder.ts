import {computePrefillTokens} from '@bayspool/decisions/capacity';
import type {WorkEstimator} from '@bayspool/decisions/capacity';
import type {PrefillRates} from '../runners/prefill_rates.js';
import type {RunnerChoice} from '../runners/runner_choice.js';
import type {IncomingCall} from './incoming_call.js';

interface Options {
  readonly rates: PrefillRates;
  readonly work: WorkEstimator;
}

interface MeasuredLatency {
  /** Time to the first event, or to the whole response, in ms. */
  readonly latencyMs: number;
  /** Whether the runner had little other work queued. */
  readonly isUnloaded: boolean;
}

/** Learns from the time of a response: the speed of its runner, and the work of such calls. */
export class LatencyRecorder {
  constructor(private readonly options: Options) {}

  record(
    {prompt, route}: Pick<IncomingCall, 'prompt' | 'route'>,
    model: string | undefined,
    {runner, unreadTokens, expectation}: RunnerChoice,
    {latencyMs, isUnloaded}: MeasuredLatency,
  ): void {
    // Latencies of a runner that is still warming up say nothing about its later latencies.
    if (runner.isCold) return;
    const {slowness} = runner;
    runner.noteLatency(latencyMs, expectation);
    const {rates, work} = this.options;
    if (!prompt) {
      if (isUnloaded) work.recordServiceTime(route.name, latencyMs, slowness);
      return;
    }
    work.recordUnread(route.name, unreadTokens, prompt.tokens);
    if (model === undefined) return;
    const workTokens = computePrefillTokens(unreadTokens, prompt.tokens);
    rates.recordSample(model, workTokens, latencyMs, isUnloaded, slowness);
  }
}
