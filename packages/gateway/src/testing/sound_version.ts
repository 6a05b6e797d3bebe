import type {VersionModel} from './version_model.js';

type Call = Parameters<VersionModel['answer']>[0];
type Answer = ReturnType<VersionModel['answer']>;

/** Share of failures that a sound version has: connections that break, runners that end. */
const FAILED_SHARE = 0.01;
/** The shortest time to a first byte, and the spread above it, in ms: prompts of many lengths. */
const MIN_FIRST_MS = 30;
const FIRST_SPREAD_MS = 300;
/** Events of an answer, at least and the spread above it. */
const MIN_EVENTS = 4;
const EVENTS_SPREAD = 40;
/** Time between two events, in ms. */
const EVENT_MS = 18;

/** A version without a fault. */
export class SoundVersion implements VersionModel {
  answer({random}: Call): Answer {
    // Few prompts are long: the square makes short ones more frequent.
    const firstMs = MIN_FIRST_MS + FIRST_SPREAD_MS * random.next() ** 2;
    const events = MIN_EVENTS + random.below(EVENTS_SPREAD);
    const hasFailed = random.next() < FAILED_SHARE;
    return {hasFailed, firstMs, forMs: firstMs + events * EVENT_MS, events};
  }
}
