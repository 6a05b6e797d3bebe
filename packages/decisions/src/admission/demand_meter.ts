import type {Clock} from '@bayspool/kernel';
import {RateMeter} from '../limits/rate_meter.js';
import {createFlowKey} from '../limits/create_flow_key.js';
import {DEMAND_WINDOW_MS} from './demand_window_ms.js';
import {createSizeClass} from './create_size_class.js';

interface Options {
  readonly clock: Clock;
}

interface Arrival {
  readonly priority: number;
  readonly workspace?: string;
  readonly workMs: number;
}

/** Time constant of the demand of flows and sizes, in ms: what is fair between them is judged over a longer time than what is short. */
const FLOW_WINDOW_MS = 3_000;
/** Demand below which a meter is dropped, in ms of slot time per ms: one call of 10 ms in 100 s. */
const MIN_DEMAND = 1e-4;
/** Flows that are told apart; the calls of further ones are counted by priority only. */
const MAX_FLOWS = 256;
const MS_PER_SECOND = 1_000;

/** Measures the work that callers ask for, by priority, workspace and size. It responds to arrivals, served or not. */
export class DemandMeter {
  private readonly priorities = new Map<number, RateMeter>();
  private readonly flows = new Map<string, RateMeter>();
  private readonly sizes = new Map<string, RateMeter>();

  constructor(private readonly options: Options) {}

  record({priority, workspace = '', workMs}: Arrival): void {
    this.mark(this.priorities, priority, workMs, DEMAND_WINDOW_MS);
    const size = createSizeClass(priority, workMs);
    this.mark(this.sizes, size, workMs, FLOW_WINDOW_MS);
    const flow = createFlowKey(priority, workspace);
    if (this.flows.has(flow) || this.flows.size < MAX_FLOWS)
      this.mark(this.flows, flow, workMs, FLOW_WINDOW_MS);
  }

  /** Work that arrives per ms, in ms of slot time, by priority. */
  byPriority(): Map<number, number> {
    return readDemands(this.priorities);
  }

  /** The same by flow. */
  byFlow(): Map<string, number> {
    return readDemands(this.flows);
  }

  /** The same by size class. */
  bySize(): Map<string, number> {
    return readDemands(this.sizes);
  }

  private mark<Key>(
    meters: Map<Key, RateMeter>,
    key: Key,
    workMs: number,
    windowMs: number,
  ): void {
    let meter = meters.get(key);
    if (!meter) {
      const {clock} = this.options;
      meter = new RateMeter({clock, windowMs});
      meters.set(key, meter);
    }
    meter.mark(workMs);
  }
}

/** Reads the meters, and drops those of calls that no longer arrive. */
function readDemands<Key>(meters: Map<Key, RateMeter>): Map<Key, number> {
  const demands = new Map<Key, number>();
  for (const [key, meter] of meters) {
    const demand = meter.perSecond() / MS_PER_SECOND;
    if (demand < MIN_DEMAND) meters.delete(key);
    else demands.set(key, demand);
  }
  return demands;
}
