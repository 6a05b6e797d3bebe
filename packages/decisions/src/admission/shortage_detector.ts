import type {Clock} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
}

/** What decides whether capacity is short. */
interface ShortageInputs {
  /** Work that arrives per ms at all hosts, over what runners finish per ms. */
  readonly load: number;
  /** Standard deviation of the load by chance. */
  readonly loadDeviation: number;
  /** Time until the work that is queued at the runners is finished, in ms. */
  readonly queueMs: number;
  /** Time that the next call can wait and still meet its latency target, in ms. */
  readonly slackMs: number;
  /** Whether the requests in flight fill the runners' slots. */
  readonly isFull: boolean;
  readonly ageMs: number;
}

/** Load from which capacity is short: queues at the runners grow long before they never drain. */
const START_LOAD = 0.9;
/** By how many standard deviations demand has to exceed it: chance must not look like a shortage. */
const DEVIATIONS = 2;
/** Load under which it is no longer short. */
const END_LOAD = 0.8;
/** Part of a call's slack that the runners' queues may use before capacity counts as short. */
const START_SLACK_SHARE = 0.5;
/** The same for the end of a shortage. */
const END_SLACK_SHARE = 0.25;
/** How long demand has to be low before a shortage ends, in ms: longer than a gap between bursts of a few calls. */
const END_AFTER_MS = 500;
/** How long free slots have to be known before calls are no longer held, in ms, besides the age of the information. */
const FULL_MEMORY_MS = 1_000;
/** Upper bound of the age that counts for this, in ms. */
const MAX_FULL_AGE_MS = 1_000;

/**
 * Detects that capacity is short, by demand or by the queue at the runners. It also requires that the slots are filled:
 * wrong estimates must not hold calls back from free runners.
 */
export class ShortageDetector {
  private state = false;
  private lowSince: number | undefined;
  private lastFullAt = -Infinity;

  constructor(private readonly options: Options) {}

  /** Whether capacity is short, by the last update. */
  get isShort(): boolean {
    return this.state;
  }

  /** @returns whether the state has changed */
  update(inputs: ShortageInputs): boolean {
    const was = this.state;
    const now = this.options.clock.now();
    if (inputs.isFull) this.lastFullAt = now;
    this.state = this.wasFilled(inputs.ageMs) && this.decide(inputs, now);
    if (!this.state) this.lowSince = undefined;
    return this.state !== was;
  }

  /** Whether the slots were filled as far as this host can know: what others report is as old as its age says. */
  private wasFilled(ageMs: number): boolean {
    const memoryMs = FULL_MEMORY_MS + Math.min(MAX_FULL_AGE_MS, ageMs);
    return this.options.clock.now() - this.lastFullAt <= memoryMs;
  }

  private decide(
    {load, loadDeviation, queueMs, slackMs}: ShortageInputs,
    now: number,
  ): boolean {
    const hasDemand = load > START_LOAD + loadDeviation * DEVIATIONS;
    if (hasDemand || queueMs > slackMs * START_SLACK_SHARE) {
      this.lowSince = undefined;
      return true;
    }
    if (!this.state) return false;
    if (load > END_LOAD || queueMs > slackMs * END_SLACK_SHARE) {
      this.lowSince = undefined;
      return true;
    }
    this.lowSince ??= now;
    return now - this.lowSince < END_AFTER_MS;
  }
}
