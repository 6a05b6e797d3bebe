import {HealthyVersion} from './healthy_version.js';
import type {VersionModel} from './version_model.js';

type Call = Parameters<VersionModel['answer']>[0];
type Answer = ReturnType<VersionModel['answer']>;

interface Options {
  /** Share of affected answers that are faulty, 0 to 1. */
  readonly faultShare: number;
  /** Which calls the fault affects; all if not given. */
  readonly isAffected?: (call: Call) => boolean;
  /** How many times slower a faulty answer is; it fails if not given. */
  readonly slowdownFactor?: number;
}

/** A version some of whose answers fail, or are slow. */
export class FaultyVersion implements VersionModel {
  private readonly healthy = new HealthyVersion();

  constructor(private readonly options: Options) {}

  answer(call: Call): Answer {
    const {faultShare, isAffected, slowdownFactor} = this.options;
    const sound = this.healthy.answer(call);
    const isBad =
      (isAffected?.(call) ?? true) && call.random.next() < faultShare;
    if (!isBad) return sound;
    const {firstMs, forMs, events} = sound;
    if (slowdownFactor === undefined)
      return {hasFailed: true, firstMs, forMs: firstMs, events: 0};
    return {
      hasFailed: false,
      firstMs: firstMs * slowdownFactor,
      forMs: forMs * slowdownFactor,
      events,
    };
  }
}
