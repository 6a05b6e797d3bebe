import {SoundVersion} from './sound_version.js';
import type {VersionModel} from './version_model.js';

type Call = Parameters<VersionModel['answer']>[0];
type Answer = ReturnType<VersionModel['answer']>;

interface Options {
  /** The share of its answers that are bad where its fault shows, 0 to 1. */
  readonly share: number;
  /** Where its fault shows; everywhere if not given. */
  readonly shows?: (call: Call) => boolean;
  /** How many times slower a bad answer is; it fails if not given. */
  readonly slowTimes?: number;
}

/** A version some of whose answers fail, or are slow. */
export class BadVersion implements VersionModel {
  private readonly sound = new SoundVersion();

  constructor(private readonly options: Options) {}

  answer(call: Call): Answer {
    const {share, shows, slowTimes} = this.options;
    const sound = this.sound.answer(call);
    const isBad = (shows?.(call) ?? true) && call.random.next() < share;
    if (!isBad) return sound;
    const {firstMs, forMs, events} = sound;
    if (slowTimes === undefined)
      return {hasFailed: true, firstMs, forMs: firstMs, events: 0};
    return {
      hasFailed: false,
      firstMs: firstMs * slowTimes,
      forMs: forMs * slowTimes,
      events,
    };
  }
}
