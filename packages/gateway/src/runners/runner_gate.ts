import type {CordonRegistry} from '../discovery/cordon_registry.js';
import type {Runner} from './runner.js';
import type {RunnerBound} from './runner_bound.js';
import type {SentCalls} from './sent_calls.js';
import type {WithheldRunner} from './withheld_runner.js';

interface Options {
  readonly cordons: CordonRegistry;
  readonly bounds: readonly RunnerBound[];
  readonly sent: SentCalls;
}

const MS_PER_SECOND = 1_000;

/** Admission control per runner: enforces cordons and the bounds on what this host sends to a runner. */
export class RunnerGate {
  constructor(private readonly options: Options) {}

  /** Returns the runners to which a request may be sent now. */
  filterOpen(runners: readonly Runner[]): readonly Runner[] {
    const open = runners.filter(runner => this.isOpen(runner));
    return open.length === runners.length ? runners : open;
  }

  /**
   * Checks a request right before it is sent. While its connection was being opened, a cordon may have arrived
   * or other requests may have used up the share.
   *
   * @returns why the request must not be sent; undefined if it may be, and then it counts as sent
   */
  admit(runner: Runner): string | undefined {
    const {cordons, sent} = this.options;
    const {id, place} = runner.entry;
    if (cordons.has(place)) return 'place cordoned';
    const withheld = this.findWithheld(runner);
    if (withheld) return withheld.bound.reason;
    sent.add(id);
    return undefined;
  }

  /** Whether no request may be sent to the runner now. */
  isWithheld(runner: Runner): boolean {
    const isCordoned = this.options.cordons.has(runner.entry.place);
    return isCordoned || !this.isOpen(runner);
  }

  /** Returns the runners to which no request may be sent now. */
  listWithheld(runners: readonly Runner[]): WithheldRunner[] {
    return runners.flatMap(runner => this.findWithheld(runner) ?? []);
  }

  /** Calls per second that this host may send to these runners together; Infinity if one of them has no bound. */
  computeTotalRate(runners: readonly Runner[]): number {
    return runners.reduce((sum, runner) => sum + this.computeRate(runner), 0);
  }

  private computeRate(runner: Runner): number {
    const rates = this.options.bounds.map(bound => {
      const share = bound.computeShare(runner);
      if (!share) return Infinity;
      return (share.calls * MS_PER_SECOND) / share.windowMs;
    });
    return Math.min(...rates);
  }

  private isOpen(runner: Runner): boolean {
    return this.findWithheld(runner) === undefined;
  }

  /** Returns the bound that withholds the runner longest; undefined if none does. */
  private findWithheld(runner: Runner): WithheldRunner | undefined {
    let longest: WithheldRunner | undefined;
    for (const bound of this.options.bounds) {
      const withheld = this.checkBound(runner, bound);
      if (withheld && withheld.waitMs > (longest?.waitMs ?? 0))
        longest = withheld;
    }
    return longest;
  }

  private checkBound(
    runner: Runner,
    bound: RunnerBound,
  ): WithheldRunner | undefined {
    const share = bound.computeShare(runner);
    if (!share) return undefined;
    const {sent: sentCalls} = this.options;
    const {id} = runner.entry;
    const waitMs = sentCalls.computeWaitMs(id, share);
    if (waitMs === 0) return undefined;
    const sent = sentCalls.countWithin(id, share.windowMs);
    return {runner, bound, share, sent, waitMs};
  }
}
