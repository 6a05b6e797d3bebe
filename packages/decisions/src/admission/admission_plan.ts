import {getOwn} from '@bayspool/kernel';
import type {ServiceCapacity} from '../capacity/service_capacity.js';
import {createFlowKey} from '../limits/create_flow_key.js';
import {allocateByPriority} from './allocate_by_priority.js';
import {computeFairLevel} from './compute_fair_level.js';
import {computePace} from './compute_pace.js';
import {DEMAND_WINDOW_MS as WINDOW_MS} from './demand_window_ms.js';
import {computeSize} from './compute_size.js';
import {sumSmaller} from './sum_smaller.js';
import type {DemandDigest} from './demand_digest.js';

/** What a host itself is asked for, in ms of slot time per ms. */
interface OwnDemand {
  readonly byPriority: ReadonlyMap<number, number>;
  readonly byFlow: ReadonlyMap<string, number>;
  readonly bySize: ReadonlyMap<string, number>;
}

interface Options {
  readonly capacity: ServiceCapacity;
  readonly own: OwnDemand;
  /** Demand of the other hosts; undefined if it is unknown. */
  readonly peers: DemandDigest | undefined;
  /** Requests of this host in flight. */
  readonly ownRunning: number;
  /** Number of hosts, this one included; they count as alike while their demand is unknown. */
  readonly hosts: number;
}

interface Flow {
  readonly priority: number;
  readonly workspace: string;
}

/** Demand of one priority at all hosts, and what it is given. */
interface PriorityPlan {
  readonly demand: number;
  readonly moreUrgent: number;
  /** Fair level of its workspaces; Infinity if each gets what it asks for. */
  readonly level: number;
  /** Demand of the workspaces that ask for no more than the level. */
  readonly underShare: number;
}

/** Demand up to which calls are sent without waiting, over the capacity: such a part alone forms no queue. */
const SENT_FIRST_LOAD = 0.85;
/** Requests in flight over the slots that show that demand exceeds the capacity. */
const FILL_OF_QUEUES = 1.4;
/** Demand over capacity that is assumed then, at least. */
const LOAD_OF_QUEUES = 1.3;
/** Own requests in flight from which they show how many all hosts have: fewer are too much by chance. */
const MIN_OWN_RUNNING = 5;
/**
 * Demand over the fair level up to which a workspace counts as within its share: demand varies by chance, and for some
 * seconds counts twice that moves to other hosts.
 */
const SHARE_TOLERANCE = 1.25;
/** Part of a priority's demand that its known flows have to make up; else the rest is taken to be divided like them. */
const MIN_KNOWN_SHARE = 0.7;
const NO_PRIORITY: PriorityPlan = {
  demand: 0,
  moreUrgent: 0,
  level: Infinity,
  underShare: 0,
};

/** Part of this host's rate that a workspace over its share gets at least: its demand may have just begun. */
const MIN_FLOW_SHARE = 0.01;

/**
 * How capacity is divided for a short time: all hosts compute the same allocation from the same sums, and each takes the
 * part of it that its own demand has of the total.
 */
export class AdmissionPlan {
  /** Demand over capacity as it was measured. */
  readonly measuredLoad: number;
  /** Work that callers ask of all hosts per ms, in ms of slot time; more than was measured if the queues show it. */
  readonly demandPerMs: number;
  /** Work that this host may send per ms. */
  readonly ratePerMs: number;
  /** Part of the capacity that this host takes, 0 to 1. */
  readonly hostShare: number;
  private readonly priorities: ReadonlyMap<number, PriorityPlan>;
  /** Demand of each known flow at all hosts. */
  private readonly flows = new Map<string, number>();

  constructor(private readonly options: Options) {
    const {capacity, own, hosts} = options;
    const measured = this.sumByPriority();
    this.measuredLoad = this.computeLoad(sum(measured.values()));
    const demands = this.scaleToQueue(measured);
    this.demandPerMs = sum(demands.values());
    const allocation = allocateByPriority(demands, capacity.workPerMs);
    this.priorities = this.planPriorities(demands, allocation);
    let given = 0;
    for (const [priority, part] of allocation)
      given +=
        (part * (own.byPriority.get(priority) ?? 0)) / demands.get(priority)!;
    const allGiven = sum(allocation.values());
    this.hostShare = allGiven > 0 ? given / allGiven : 1 / Math.max(1, hosts);
    const {hostShare} = this;
    const {ownRunning} = options;
    this.ratePerMs =
      hostShare *
      capacity.workPerMs *
      computePace({capacity, hostShare, ownRunning});
  }

  /** Work that this host's part of the capacity finishes per ms, whatever its queues are now. */
  get unpacedRatePerMs(): number {
    return this.hostShare * this.options.capacity.workPerMs;
  }

  /** Demand over capacity. */
  get load(): number {
    return this.computeLoad(this.demandPerMs);
  }

  /** Standard deviation of the load by chance: calls that arrive independently vary by as much. */
  get loadDeviation(): number {
    const {running, backlogMs, workPerMs} = this.options.capacity;
    if (running === 0 || workPerMs === 0) return 0;
    const variance = (this.demandPerMs * backlogMs) / running / 2 / WINDOW_MS;
    return Math.sqrt(variance) / workPerMs;
  }

  /** Requests in flight at all hosts: as they report them, or as many more as the own ones show. */
  private get runningAtAll(): number {
    const {capacity, own, ownRunning, peers} = this.options;
    if (ownRunning < MIN_OWN_RUNNING) return capacity.running;
    const ownAll = sum(own.byPriority.values());
    const peersAll = sum(Object.values(peers?.byPriority ?? {}));
    const ownPart = peers
      ? ownAll / (ownAll + peersAll)
      : 1 / Math.max(1, this.options.hosts);
    // Long calls are in flight for longer than the demand that they were is measured.
    const most = capacity.running + ownRunning;
    const estimated = ownPart > 0 ? ownRunning / ownPart : 0;
    return Math.max(capacity.running, Math.min(most, estimated));
  }

  /** Time until what waits at the runners is finished, in ms. */
  get queueMs(): number {
    return this.computeQueueMs(this.runningAtAll);
  }

  /** The same by the requests that hosts have reported. */
  get reportedQueueMs(): number {
    return this.computeQueueMs(this.options.capacity.running);
  }

  /** Whether a workspace asks for more than its fair share of its priority. */
  isOverShare(flow: Flow): boolean {
    const {level} = this.of(flow.priority);
    return this.demandOf(flow) > level * SHARE_TOLERANCE;
  }

  /** Work that this host may send per ms for a workspace that asks for more than its share. */
  rateOf(flow: Flow): number {
    const {level} = this.of(flow.priority);
    const all = this.demandOf(flow);
    if (level === Infinity || all === 0) return this.ratePerMs;
    const rate = (level * this.ownOf(flow)) / all;
    return Math.max(rate, this.unpacedRatePerMs * MIN_FLOW_SHARE);
  }

  /** Whether a call and all that goes before it together are well below the capacity. */
  isSentFirst(flow: Flow, workMs: number): boolean {
    const {workPerMs} = this.options.capacity;
    return this.demandUpTo(flow, workMs) <= SENT_FIRST_LOAD * workPerMs;
  }

  /** Time until what goes before a call is finished by runners that order their queues like this, in ms. */
  estimateOrderedMs(flow: Flow, workMs: number): number {
    const before = this.demandUpTo(flow, workMs) / this.demandPerMs;
    return this.reportedQueueMs * Math.min(1, before);
  }

  /** Work that this host is asked for per ms and that goes before a call which arrives now. */
  ownDemandBefore({priority, workspace}: Flow, workMs: number): number {
    const {byPriority, bySize} = this.options.own;
    let before = 0;
    for (const [other, demand] of byPriority)
      if (other < priority) before += demand;
    const flow = {priority, workspace};
    const {demand, underShare} = this.of(priority);
    const own = byPriority.get(priority) ?? 0;
    if (demand > 0 && this.isOverShare(flow))
      before += (own * underShare) / demand;
    const smaller = sumSmaller(bySize, priority, computeSize(workMs) - 1);
    return before + smaller;
  }

  /** Demand at all hosts that goes before a call, its own kind included. */
  private demandUpTo(flow: Flow, workMs: number): number {
    const {moreUrgent, demand, underShare, level} = this.of(flow.priority);
    if (level !== Infinity && !this.isOverShare(flow))
      return moreUrgent + underShare;
    const {bySize} = this.options.own;
    const all = sumSmaller(bySize, flow.priority, computeSize(Infinity));
    const upTo = sumSmaller(bySize, flow.priority, computeSize(workMs));
    const sizeShare = all > 0 ? upTo / all : 1;
    return moreUrgent + underShare + (demand - underShare) * sizeShare;
  }

  private computeQueueMs(inFlight: number): number {
    const {slots, running, backlogMs, workPerMs} = this.options.capacity;
    const queued = inFlight - slots;
    if (queued <= 0 || running === 0 || workPerMs === 0) return 0;
    return (queued * backlogMs) / running / workPerMs;
  }

  private computeLoad(demandPerMs: number): number {
    const {workPerMs} = this.options.capacity;
    return workPerMs > 0 ? demandPerMs / workPerMs : Infinity;
  }

  private sumByPriority(): Map<number, number> {
    const {own, peers, hosts} = this.options;
    const demands = new Map<number, number>();
    const factor = peers ? 1 : Math.max(1, hosts);
    for (const [priority, demand] of own.byPriority)
      demands.set(priority, demand * factor);
    for (const [key, demand] of Object.entries(peers?.byPriority ?? {})) {
      const priority = Number(key);
      demands.set(priority, (demands.get(priority) ?? 0) + demand);
    }
    return demands;
  }

  /**
   * Raises the demands to what the runners' queues show: these grow as soon as demand exceeds the capacity, while the
   * measured demand follows a rise more slowly.
   */
  private scaleToQueue(demands: Map<number, number>): Map<number, number> {
    const {capacity} = this.options;
    const least = capacity.workPerMs * LOAD_OF_QUEUES;
    const all = sum(demands.values());
    const hasQueues = this.runningAtAll >= capacity.slots * FILL_OF_QUEUES;
    if (!hasQueues || all === 0 || all >= least) return demands;
    for (const [priority, demand] of demands)
      demands.set(priority, (demand * least) / all);
    return demands;
  }

  private planPriorities(
    demands: ReadonlyMap<number, number>,
    allocation: ReadonlyMap<number, number>,
  ): Map<number, PriorityPlan> {
    const plans = new Map<number, PriorityPlan>();
    const groups = this.groupFlows();
    let moreUrgent = 0;
    for (const [priority, allocated] of allocation) {
      const demand = demands.get(priority) ?? 0;
      const isWhole = allocated >= demand;
      const known = this.scaleFlows(groups.get(priority) ?? [], demand);
      const level = isWhole ? Infinity : computeFairLevel(known, allocated);
      const within = known.filter(flow => flow <= level * SHARE_TOLERANCE);
      const underShare = isWhole ? 0 : sum(within);
      plans.set(priority, {demand, moreUrgent, level, underShare});
      moreUrgent += demand;
    }
    return plans;
  }

  /** Keys of the known flows, by priority. */
  private groupFlows(): Map<number, string[]> {
    const {own, peers} = this.options;
    const keys = new Set(own.byFlow.keys());
    for (const key of Object.keys(peers?.byWorkspace ?? {})) keys.add(key);
    const groups = new Map<number, string[]>();
    for (const key of keys) {
      const priority = Number(key.slice(0, key.indexOf('/')));
      const group = groups.get(priority);
      if (group) group.push(key);
      else groups.set(priority, [key]);
    }
    return groups;
  }

  /** Demands of the known flows of a priority; scaled to its demand if hosts list too few of them. */
  private scaleFlows(keys: readonly string[], demand: number): number[] {
    const {own, peers} = this.options;
    const known = keys.map(
      key =>
        (own.byFlow.get(key) ?? 0) +
        (getOwn(peers?.byWorkspace ?? {}, key) ?? 0),
    );
    const all = sum(known);
    const isKnown = all === 0 || all >= demand * MIN_KNOWN_SHARE;
    const scale = isKnown ? 1 : demand / all;
    const scaled = known.map(flow => flow * scale);
    keys.forEach((key, index) => this.flows.set(key, scaled[index]));
    return scaled;
  }

  private of(priority: number): PriorityPlan {
    return this.priorities.get(priority) ?? NO_PRIORITY;
  }

  private demandOf({priority, workspace}: Flow): number {
    return this.flows.get(createFlowKey(priority, workspace)) ?? 0;
  }

  private ownOf({priority, workspace}: Flow): number {
    const key = createFlowKey(priority, workspace);
    return this.options.own.byFlow.get(key) ?? 0;
  }
}

function sum(values: Iterable<number>): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}
