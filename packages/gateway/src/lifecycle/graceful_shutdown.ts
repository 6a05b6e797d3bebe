import {sleep} from '@bayspool/kernel';
import type {Clock} from '@bayspool/kernel';
import type {CallServer} from '../calls/call_server.js';
import {AbortReason} from '../calls/abort_reason.js';
import type {EventLog} from '../observability/event_log.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly callServer: CallServer;
  /** Time until the process is killed, in ms. */
  readonly graceMs: () => number;
}

/** Time in which the balancer still sends new connections: two looks a second apart, and slack, in ms. */
const BALANCER_REACTION_MS = 2_300;
/** Time kept back before the end of the grace period, in ms: the way of the last answers. */
const FINAL_RESPONSE_MARGIN_MS = 700;
/** Pause between two looks at whether all calls have ended, in ms. */
const POLL_INTERVAL_MS = 50;

/** How a host leaves: not ready at once, then no new connections, then what runs is finished. */
export class GracefulShutdown {
  private isStarted = false;

  constructor(private readonly options: Options) {}

  /** Whether this host is about to stop: it is not ready, and connections are closed behind their answers. */
  get hasStarted(): boolean {
    return this.isStarted;
  }

  /** Resolves when nothing is open any more, or the grace period is nearly over. */
  async run(reason: string): Promise<void> {
    const {clock, log, callServer: door} = this.options;
    const graceMs = this.options.graceMs();
    const startedAt = clock.now();
    this.isStarted = true;
    log.write('process_stopping', {reason, open: door.openCalls, graceMs});
    const until = startedAt + graceMs - FINAL_RESPONSE_MARGIN_MS;
    await sleep(clock, Math.min(BALANCER_REACTION_MS, graceMs / 2));
    door.closeIdle();
    while (door.openCalls > 0 && clock.now() < until) {
      await sleep(clock, POLL_INTERVAL_MS);
      door.closeIdle();
    }
    const cut = door.abortAll(AbortReason.HOST_SHUTDOWN);
    await sleep(clock, POLL_INTERVAL_MS);
    const forMs = Math.round(clock.now() - startedAt);
    log.write('process_stopped', {reason, cut, forMs});
  }
}
