import type {Clock} from '@bayspool/kernel';
import {RateMeter} from '../limits/rate_meter.js';
import type {DemandDigest} from './demand_digest.js';
import {DemandMeter} from './demand_meter.js';
import {keepLargest} from './keep_largest.js';

interface Options {
  readonly clock: Clock;
}

type Arrival = Parameters<DemandMeter['record']>[0];

/** Flows that a host names to the others at most: bytes between places are expensive. */
const MAX_REPORTED_FLOWS = 8;
/** Time constant of the rate of rejections, in ms. */
const REJECTED_WINDOW_MS = 1_500;
/** How long the demand of other hosts is used, in ms: as long as their digests. */
const PEERS_TTL_MS = 3_000;

/** The demand that this host measures and that others report. */
export class DemandReport {
  private readonly meter: DemandMeter;
  private readonly rejected: RateMeter;
  private backlogMs = 0;
  private sentCount = 0;
  private fromPeers: DemandDigest | undefined;
  private fromPeersAt = -Infinity;

  constructor(private readonly options: Options) {
    const {clock} = options;
    this.meter = new DemandMeter({clock});
    this.rejected = new RateMeter({clock, windowMs: REJECTED_WINDOW_MS});
  }

  recordArrival(call: Arrival): void {
    this.meter.record(call);
  }

  recordSent(workMs: number): void {
    this.sentCount++;
    this.backlogMs += workMs;
  }

  recordEnded(workMs: number): void {
    this.sentCount--;
    this.backlogMs = Math.max(0, this.backlogMs - workMs);
  }

  recordRejected(): void {
    this.rejected.mark();
  }

  /** Requests of this host in flight. */
  get running(): number {
    return this.sentCount;
  }

  /** This host's demand by priority, flow and size. */
  readOwn() {
    const {meter} = this;
    return {
      byPriority: meter.byPriority(),
      byFlow: meter.byFlow(),
      bySize: meter.bySize(),
    };
  }

  /** This host's demand by size class. */
  bySize(): Map<string, number> {
    return this.meter.bySize();
  }

  /** Demand of the other hosts; undefined if it is unknown. */
  get peers(): DemandDigest | undefined {
    return this.peersAgeMs < PEERS_TTL_MS ? this.fromPeers : undefined;
  }

  /** Age of the other hosts' demand, in ms; Infinity if none was received. */
  get peersAgeMs(): number {
    return this.options.clock.now() - this.fromPeersAt;
  }

  applyPeerDigest(sum: DemandDigest): void {
    this.fromPeers = sum;
    this.fromPeersAt = this.options.clock.now();
  }

  /** @param isShort whether capacity is short, so that the other hosts need the demand of each workspace */
  createDigest(isShort: boolean): DemandDigest {
    const byFlow = Object.fromEntries(this.meter.byFlow());
    return {
      byPriority: roundAll(Object.fromEntries(this.meter.byPriority())),
      ...(isShort && {
        byWorkspace: roundAll(keepLargest(byFlow, MAX_REPORTED_FLOWS)),
      }),
      backlogMs: Math.round(this.backlogMs),
      rejected: round(this.rejected.perSecond()),
    };
  }
}

/** Rounds the figures to hundredths of a slot, and drops those that are none. */
function roundAll(
  record: Readonly<Record<string, number>>,
): Record<string, number> {
  const rounded = new Map<string, number>();
  for (const [key, value] of Object.entries(record)) {
    const figure = round(value);
    if (figure > 0) rounded.set(key, figure);
  }
  return Object.fromEntries(rounded);
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
