import type {RunnerReachability} from '../runners/runner_reachability.js';

interface Options {
  readonly reachability: RunnerReachability;
  /** Whether this host accepts no new connections, as it shuts down. */
  readonly isClosing: () => boolean;
  /** Number of relayed calls that are open. */
  readonly openCalls: () => number;
}

/** Maximum number of relayed calls that are open at once: as many as a host has of its own in a busy time. */
const MAX_OPEN_CALLS = 256;

/** Decides whether this host takes a call that another one relays. */
export class RelayAdmission {
  constructor(private readonly options: Options) {}

  /** Returns why no relayed call is taken now; undefined if it is. */
  async findRefusal(): Promise<string | undefined> {
    const {reachability, isClosing, openCalls} = this.options;
    if (isClosing()) return 'host is shutting down';
    await reachability.confirm();
    if (reachability.isCutOff) return 'host reaches no runner';
    if (openCalls() > MAX_OPEN_CALLS) return 'too many relayed calls';
    return undefined;
  }
}
