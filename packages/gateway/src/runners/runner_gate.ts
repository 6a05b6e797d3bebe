import type {Cordons} from '../beliefs/cordons.js';
import type {Runner} from './runner.js';

interface Options {
  readonly cordons: Cordons;
}

/** What keeps this host from sending a request to a runner that would take it. */
export class RunnerGate {
  constructor(private readonly options: Options) {}

  /**
   * Why a request must not be sent now; undefined if it may be. Asked again right before it is sent, as a connection may
   * take long enough to come up for an order to arrive.
   */
  refusalOf({entry}: Runner): string | undefined {
    if (this.options.cordons.has(entry.place)) return 'place cordoned';
    return undefined;
  }
}
