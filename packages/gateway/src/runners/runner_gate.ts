import type {Cordons} from '../beliefs/cordons.js';
import type {ColdGate} from './cold_gate.js';
import type {Runner} from './runner.js';

interface Options {
  readonly cordons: Cordons;
  readonly cold: ColdGate;
}

/** What keeps this host from sending a request to a runner that would take it. */
export class RunnerGate {
  constructor(private readonly options: Options) {}

  /** Those of the runners to which a request may be sent now. */
  openOf(runners: readonly Runner[]): readonly Runner[] {
    const {cold} = this.options;
    if (runners.every(runner => cold.isOpen(runner))) return runners;
    return runners.filter(runner => cold.isOpen(runner));
  }

  /**
   * Asked right before a request is sent, as a connection may take long enough to come up for an order to arrive, or for other
   * requests to be sent first.
   *
   * @returns why the request must not be sent; undefined if it may be, and then it counts as sent
   */
  admit(runner: Runner): string | undefined {
    const {cordons, cold} = this.options;
    if (cordons.has(runner.entry.place)) return 'place cordoned';
    if (!cold.isOpen(runner)) return 'cold runner has its share';
    cold.noteSent(runner);
    return undefined;
  }
}
