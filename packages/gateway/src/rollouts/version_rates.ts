import type {RolloutProgress} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import {CallRate} from './call_rate.js';

interface Options {
  readonly clock: Clock;
}

/** Attempts sent to the new version and to the others since the order. */
interface AttemptCounts {
  readonly fresh: number;
  readonly old: number;
}

type CountsWithRates = Pick<
  RolloutProgress,
  'sentAll' | 'sentFresh' | 'callsPerMs' | 'freshPerMs'
>;

/** Call rates of a service during a rollout, for all versions together and for the new version. */
export class VersionRates {
  private readonly all: CallRate;
  private readonly fresh: CallRate;

  constructor(options: Options) {
    this.all = new CallRate(options);
    this.fresh = new CallRate(options);
  }

  /** Records the current counts and returns them with their rates. */
  update({fresh, old}: AttemptCounts, elapsedMs: number): CountsWithRates {
    const sentAll = fresh + old;
    return {
      sentAll,
      sentFresh: fresh,
      callsPerMs: this.all.measurePerMs(sentAll, elapsedMs),
      freshPerMs: this.fresh.measurePerMs(fresh, elapsedMs),
    };
  }
}
