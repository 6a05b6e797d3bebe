import type {Cordons} from '../beliefs/cordons.js';
import type {Runner} from './runner.js';
import type {RunnerBound} from './runner_bound.js';
import type {SentCalls} from './sent_calls.js';

interface Options {
  readonly cordons: Cordons;
  readonly bounds: readonly RunnerBound[];
  readonly sent: SentCalls;
}

/** What keeps this host from sending a request to a runner that would take it. */
export class RunnerGate {
  constructor(private readonly options: Options) {}

  /** Those of the runners to which a request may be sent now. */
  openOf(runners: readonly Runner[]): readonly Runner[] {
    if (runners.every(runner => this.isOpen(runner))) return runners;
    return runners.filter(runner => this.isOpen(runner));
  }

  /**
   * Asked right before a request is sent, as a connection may take long enough to come up for an order to arrive, or for other
   * requests to be sent first.
   *
   * @returns why the request must not be sent; undefined if it may be, and then it counts as sent
   */
  admit(runner: Runner): string | undefined {
    const {cordons, sent} = this.options;
    const {id, place} = runner.entry;
    if (cordons.has(place)) return 'place cordoned';
    const full = this.fullBound(runner);
    if (full) return full.reason;
    sent.add(id);
    return undefined;
  }

  private isOpen(runner: Runner): boolean {
    return this.fullBound(runner) === undefined;
  }

  /** The bound of which this host has no share left at a runner. */
  private fullBound(runner: Runner): RunnerBound | undefined {
    const {bounds, sent} = this.options;
    return bounds.find(bound => {
      const share = bound.shareOf(runner);
      if (!share) return false;
      const count = sent.countWithin(runner.entry.id, share.windowMs);
      return count >= share.calls;
    });
  }
}
