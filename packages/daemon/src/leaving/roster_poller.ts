import type {Roster} from '@bayspool/decisions';
import {
  jitter,
  sleep,
  type Clock,
  type Logger,
  type RandomSource,
  type Service,
} from '@bayspool/kernel';
import type {LeavingState} from './leaving_state.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly roster: Roster;
  readonly leavingState: LeavingState;
  readonly intervalMs: number;
}

/** Polls the platform's roster of hosts. When a read fails, the last roster stays in force. */
export class RosterPoller implements Service {
  readonly name = 'roster watcher';
  private readonly stopping = new AbortController();
  private loop: Promise<void> = Promise.resolve();

  constructor(private readonly options: Options) {}

  async start(): Promise<void> {
    this.loop = this.run();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.loop;
  }

  private async run(): Promise<void> {
    const {clock, random, intervalMs} = this.options;
    while (!this.stopping.signal.aborted) {
      await this.poll();
      await sleep(clock, jitter(random, intervalMs), this.stopping.signal);
    }
  }

  private async poll(): Promise<void> {
    const {roster, leavingState, logger} = this.options;
    try {
      const entries = await roster.list(this.stopping.signal);
      leavingState.updateListed(
        new Set(entries.filter(entry => entry.leaving).map(entry => entry.id)),
      );
    } catch (error) {
      if (!this.stopping.signal.aborted)
        logger.debug('roster not read', {error: String(error)});
    }
  }
}
