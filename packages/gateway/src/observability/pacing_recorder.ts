import type {Clock, PauseReason, RequestPacer} from '@bayspool/kernel';
import type {EventLog} from './event_log.js';
import type {GatewayMetrics} from './gateway_metrics.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly pacer: RequestPacer;
}

/** Shortest time between two lines of a kind, in ms: clients may make connections pause without end. */
const LINE_INTERVAL_MS = 1_000;
const SHED = 'shed';

/** Counts and logs connections that are paused or closed, as their clients send more than this host can hold. */
export class PacingRecorder {
  private readonly lastLineAt = new Map<string, number>();
  private readonly omitted = new Map<string, number>();

  constructor(private readonly options: Options) {
    options.pacer.observe({
      onPaused: reason => this.recordPaused(reason),
      onShed: unparsedBytes => this.recordShed(unparsedBytes),
    });
  }

  private recordPaused(reason: PauseReason): void {
    const {log, metrics} = this.options;
    metrics.pausedConnections.inc({reason});
    const omittedLines = this.admitLine(reason);
    if (omittedLines === undefined) return;
    log.write('connection_paused', {
      reason,
      ...this.describeHeld(),
      omittedLines,
    });
  }

  private recordShed(unparsedBytes: number): void {
    const {log, metrics} = this.options;
    metrics.shedConnections.inc();
    const omittedLines = this.admitLine(SHED);
    if (omittedLines === undefined) return;
    const held = this.describeHeld();
    log.write('connection_shed', {unparsedBytes, ...held, omittedLines});
  }

  private describeHeld() {
    const {heldUnparsedBytes, sharedRequestBytes} = this.options.pacer;
    return {heldUnparsedBytes, sharedRequestBytes};
  }

  /** @returns how many lines of this kind were left out before; undefined if this one is */
  private admitLine(kind: string): number | undefined {
    const now = this.options.clock.now();
    const omitted = this.omitted.get(kind) ?? 0;
    if (now - (this.lastLineAt.get(kind) ?? -Infinity) < LINE_INTERVAL_MS) {
      this.omitted.set(kind, omitted + 1);
      return undefined;
    }
    this.lastLineAt.set(kind, now);
    this.omitted.delete(kind);
    return omitted;
  }
}
