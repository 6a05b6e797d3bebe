import type {RolloutProgress} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import {CallRate} from './call_rate.js';

interface Options {
  readonly clock: Clock;
}

/** Attempts at the new version and at the others since the order. */
interface AttemptCounts {
  readonly fresh: number;
  readonly old: number;
}

type CountsWithRates = Pick<
  RolloutProgress,
  'sentAll' | 'sentFresh' | 'callsPerMs' | 'freshPerMs'
>;

/** How fast calls come for a service with a roll-out, and for its new version. */
export class VersionRates {
  private readonly all: CallRate;
  private readonly fresh: CallRate;

  constructor(options: Options) {
    this.all = new CallRate(options);
    this.fresh = new CallRate(options);
  }

  /** Takes the counts as they are now, and gives them with their rates. */
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
