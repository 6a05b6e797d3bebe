import {computePrefillTokens} from '@bayspool/decisions/capacity';
import type {Prompt} from '@bayspool/decisions/calls';
import {countSharedTokens} from './count_shared_tokens.js';
import type {Runner} from './runner.js';
import type {RunnerCosts} from './runner_costs.js';
import {weighSpeedSample} from './weigh_speed_sample.js';

interface Options {
  readonly runners: readonly Runner[];
  readonly prompt: Prompt;
  readonly msPerToken: number;
  /** Memory that the call will take, in tokens. */
  readonly memoryTokens: number;
  /** Memory of each runner, in tokens; Infinity if unknown. */
  readonly memoryLimit: number;
  /** Estimates how many tokens at the start of the prompt a runner has in its cache. */
  readonly countCachedTokens: (runner: string) => number;
  /** Maximum pause between two events of a stream that is in time, in ms; 0 if there is none. */
  readonly pauseTargetMs: number;
  /** The runners at which all hosts expect the shared parts of the prompt to be cached, mostly one. */
  readonly owners: readonly Runner[];
}

/** Time that each running request adds to a call, in ms: its part of the engine's steps. */
const RUNNING_COST_MS = 4;
/** How many times the prefill of shared parts is assumed to be saved later if their owner does it now: once. */
const OWNER_SAVING_FACTOR = 1;
/** Fixed part of the time to the first event besides prefill and queueing, in ms. */
const BASE_LATENCY_MS = 30;
/** Variance of the logarithm of an engine's time to the first event. */
const LOG_VARIANCE = 0.05;
/**
 * Part of the pause target that pending prefill work may take: engines generate tokens of the running streams between
 * pieces of it, and the rest of a pause is their own step and the way to the caller.
 */
const PAUSE_TARGET_PART = 0.7;
/** Cost of preempting other requests, in ms: they are processed again from the start. */
const PREEMPTION_COST_MS = 2_000;

/** Costs of engines for a call with a prompt: the work before it, its own prefill, and memory that it lacks. */
export class EngineCosts implements RunnerCosts {
  constructor(private readonly options: Options) {}

  computeCostMs(index: number): number {
    const runner = this.options.runners[index];
    const {prompt, msPerToken, owners, countCachedTokens} = this.options;
    const cachedTokens = countCachedTokens(runner.id);
    const unreadTokens = this.countUnreadTokens(cachedTokens);
    const workMs =
      computePrefillTokens(unreadTokens, prompt.tokens) * msPerToken;
    const waitMs = computeWaitMs(runner);
    const costMs =
      (waitMs + workMs) * runner.slowness +
      this.computeStallCostMs(runner, workMs) +
      this.computeMemoryCostMs(runner);
    if (!owners.includes(runner)) return costMs;
    // Once an owner has processed a shared part, later requests find it in its cache.
    const uncached = Math.max(0, countSharedTokens(prompt) - cachedTokens);
    return costMs - uncached * msPerToken * OWNER_SAVING_FACTOR;
  }

  describe(index: number): ReturnType<RunnerCosts['describe']> {
    const runner = this.options.runners[index];
    const {prompt, msPerToken, memoryTokens, countCachedTokens} = this.options;
    const cachedTokens = countCachedTokens(runner.id);
    const unreadTokens = this.countUnreadTokens(cachedTokens);
    const workMs =
      computePrefillTokens(unreadTokens, prompt.tokens) * msPerToken;
    const waitMs = computeWaitMs(runner);
    const uncertainMs = BASE_LATENCY_MS + waitMs + cachedTokens * msPerToken;
    return {
      workMs,
      waitMs,
      unreadTokens,
      held: {slotMs: 0, memoryTokens},
      expectation: {
        expectedMs: BASE_LATENCY_MS + workMs + waitMs,
        weight: weighSpeedSample({
          ownMs: workMs,
          uncertainMs,
          logVariance: LOG_VARIANCE,
        }),
      },
      slowness: runner.slowness,
    };
  }

  private countUnreadTokens(cachedTokens: number): number {
    return Math.max(1, this.options.prompt.tokens - cachedTokens);
  }

  /** Time by which the prefill work pauses the running streams for longer than their target, over all of them, in ms. */
  private computeStallCostMs(runner: Runner, workMs: number): number {
    const {pauseTargetMs} = this.options;
    if (pauseTargetMs === 0) return 0;
    const pauseMs = (runner.totalPendingMs + workMs) * runner.slowness;
    const excessMs = pauseMs - pauseTargetMs * PAUSE_TARGET_PART;
    return Math.max(0, excessMs) * runner.totalRunning;
  }

  /** Cost of a request that does not fit into the free memory of an engine, in ms. */
  private computeMemoryCostMs({totalMemoryTokens}: Runner): number {
    const {memoryTokens, memoryLimit} = this.options;
    const overTokens = totalMemoryTokens + memoryTokens - memoryLimit;
    if (overTokens <= 0) return 0;
    return PREEMPTION_COST_MS * (1 + overTokens / memoryLimit);
  }
}

function computeWaitMs(runner: Runner): number {
  return (
    runner.totalPendingMs +
    runner.totalRunning * RUNNING_COST_MS +
    runner.slotWaitMs
  );
}
