import type {VersionModel} from './version_model.js';

type Call = Parameters<VersionModel['answer']>[0];
type Answer = ReturnType<VersionModel['answer']>;

/** Failure rate of a healthy version: broken connections and runners that exit. */
const FAILED_SHARE = 0.01;
/** Minimum time to the first byte, and the spread above it, in ms: prompts differ in length. */
const MIN_FIRST_MS = 30;
const FIRST_SPREAD_MS = 300;
/** Minimum number of events of a response, and the spread above it. */
const MIN_EVENTS = 4;
const EVENTS_SPREAD = 40;
/** Interval between two events, in ms. */
const EVENT_MS = 18;

/** A service version without a fault. */
export class HealthyVersion implements VersionModel {
  answer({random}: Call): Answer {
    // Few prompts are long: squaring makes short times more frequent.
    const firstMs = MIN_FIRST_MS + FIRST_SPREAD_MS * random.next() ** 2;
    const events = MIN_EVENTS + random.below(EVENTS_SPREAD);
    const hasFailed = random.next() < FAILED_SHARE;
    return {hasFailed, firstMs, forMs: firstMs + events * EVENT_MS, events};
  }
}
