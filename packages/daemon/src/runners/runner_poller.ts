import {setMaxListeners} from 'node:events';
import type {Runner} from '@bayspool/decisions';
import {
  jitter,
  sleep,
  timeoutSignal,
  type Clock,
  type Logger,
  type RandomSource,
  type Service,
} from '@bayspool/kernel';
import type {RunnerPool} from './runner_pool.js';
import type {BackendState} from './backend_state.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly pool: RunnerPool;
  /** How often each runner is polled, in ms, as far as the poll budget allows. */
  readonly intervalMs: number;
  /** The poll budget in polls per second over all runners; with more runners each is polled less often. */
  readonly maxPollsPerSecond: number;
  readonly timeoutMs: number;
}

const SECOND_MS = 1_000;
const IN_USE_WINDOW_MS = 10_000;
const IDLE_INTERVAL_FACTOR = 6;

/** Polls the engines for their load reports and cache events, at a bounded rate. */
export class RunnerPoller implements Service {
  readonly name = 'runner poller';
  private readonly stopping = new AbortController();
  private loops: Promise<void>[] = [];

  constructor(private readonly options: Options) {}

  async start(): Promise<void> {
    const states = this.options.pool.listStates();
    setMaxListeners(0, this.stopping.signal);
    await Promise.all(states.map(state => this.poll(state)));
    this.loops = states.map(state => this.pollRepeatedly(state));
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await Promise.all(this.loops);
  }

  private async pollRepeatedly(state: BackendState<Runner>): Promise<void> {
    const {clock, random, pool} = this.options;
    for (;;) {
      await sleep(
        clock,
        jitter(random, this.computeIntervalMs(state)),
        this.stopping.signal,
      );
      if (this.stopping.signal.aborted) return;
      await this.poll(state);
      pool.dispatchQueued();
    }
  }

  /** Runners that this host does not use are polled less often; all polls together stay within the budget. */
  private computeIntervalMs(state: BackendState<Runner>): number {
    const {clock, intervalMs, maxPollsPerSecond, pool} = this.options;
    const isInUse = clock.now() - state.lastDispatchedAt < IN_USE_WINDOW_MS;
    const wanted = isInUse ? intervalMs : intervalMs * IDLE_INTERVAL_FACTOR;
    return Math.max(
      wanted,
      (pool.listStates().length / maxPollsPerSecond) * SECOND_MS,
    );
  }

  private async poll(state: BackendState<Runner>): Promise<void> {
    const timeout = timeoutSignal(this.options.clock, this.options.timeoutMs);
    const signal = AbortSignal.any([this.stopping.signal, timeout.signal]);
    try {
      state.updateFromReport(await state.backend.fetchReport(signal));
      state.prefixes.applyEvents(
        await state.backend.fetchCacheEvents(state.prefixes.position, signal),
      );
    } catch (error) {
      if (this.stopping.signal.aborted) return;
      state.recordReportFailure();
      this.options.logger.debug('runner report failed', {
        runner: state.backend.id,
        error: String(error),
      });
    } finally {
      timeout.cancel();
    }
  }
}
