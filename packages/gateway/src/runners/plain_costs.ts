import {forecastRunning} from '@bayspool/decisions/capacity';
import type {ServiceTime} from '@bayspool/decisions/capacity';
import type {Runner} from './runner.js';
import type {RunnerCosts} from './runner_costs.js';
import {weighSpeedSample} from './weigh_speed_sample.js';

interface Options {
  readonly runners: readonly Runner[];
  /** Learned slot time of the call's route; undefined until measured. */
  readonly service?: ServiceTime;
}

/** Time that each running request adds to a call without a prompt, in ms. */
const RUNNING_COST_MS = 5;
/**
 * Utilization of the considered runners up to which reported requests count as current, as even hosts that all choose
 * the same runner find free slots there, and from which they are forecast.
 */
const LOW_UTILIZATION = 0.25;
const MEDIUM_UTILIZATION = 0.5;
/** Wait for each request beyond the slots, in ms, while the slot time is unknown. */
const UNKNOWN_TURN_MS = 40;

/** Costs of runners for a call without a prompt: the wait for a slot and the work, by the speed of the runner. */
export class PlainCosts implements RunnerCosts {
  private readonly slowness: readonly number[];
  /** How much reported requests of other hosts count whatever their age, 0 to 1. */
  private readonly reportTrust: number;
  /** Requests of other hosts per slot of a runner of nominal speed, if they were spread evenly. */
  private readonly peersPerSlot: number;

  constructor(private readonly options: Options) {
    const {runners} = options;
    this.slowness = runners.map(({slowness}) => slowness);
    let own = 0;
    let peers = 0;
    let slots = 0;
    runners.forEach((runner, index) => {
      own += runner.ownRunning;
      peers += runner.peerLoad.running;
      slots += runner.slots / this.slowness[index];
    });
    this.peersPerSlot = peers / Math.max(1, slots);
    const utilization = (own + peers) / Math.max(1, slots);
    const trust =
      (MEDIUM_UTILIZATION - utilization) /
      (MEDIUM_UTILIZATION - LOW_UTILIZATION);
    this.reportTrust = Math.min(1, Math.max(0, trust));
  }

  computeCostMs(index: number): number {
    const running = this.forecastRunning(index);
    const waitMs = this.computeWaitMs(index, running);
    const slotMs = this.options.service?.meanMs ?? 0;
    const nominalMs = running * RUNNING_COST_MS + waitMs + slotMs;
    return nominalMs * this.slowness[index];
  }

  describe(index: number): ReturnType<RunnerCosts['describe']> {
    const {service} = this.options;
    const running = this.forecastRunning(index);
    const waitMs = this.computeWaitMs(index, running);
    const expectation = service && {
      expectedMs: waitMs + service.medianMs,
      weight: weighSpeedSample({
        ownMs: service.medianMs,
        uncertainMs: waitMs + this.computeUncertainWaitMs(index, running),
        logVariance: service.logVariance,
      }),
    };
    return {
      workMs: 0,
      waitMs,
      unreadTokens: 0,
      held: {slotMs: service?.meanMs ?? 0, memoryTokens: 0},
      expectation,
      slowness: this.slowness[index],
    };
  }

  private forecastRunning(index: number): number {
    const {ownRunning, totalRunning, peerLoad, usualDurationMs, slots} =
      this.options.runners[index];
    const slowness = this.slowness[index];
    const slotMs = this.options.service?.meanMs ?? usualDurationMs;
    // A queue longer than the slots takes more than one turn of all slots.
    const turns = Math.max(1, totalRunning / Math.max(1, slots));
    const peers = forecastRunning({
      reported: peerLoad.running,
      even: (this.peersPerSlot * slots) / slowness,
      ageMs: peerLoad.ageMs,
      durationMs: slotMs * slowness * turns,
    });
    return ownRunning + peers + this.reportTrust * (peerLoad.running - peers);
  }

  /** Expected wait for a slot, in ms at nominal speed. */
  private computeWaitMs(index: number, running: number): number {
    const {slots} = this.options.runners[index];
    return Math.max(0, running - slots + 1) * this.computeTurnMs(index);
  }

  /**
   * Wait that is possible although there seems to be a free slot, in ms: the number of other hosts' requests may be
   * off by about its square root.
   */
  private computeUncertainWaitMs(index: number, running: number): number {
    const {slots, ownRunning} = this.options.runners[index];
    const uncertain = Math.sqrt(Math.max(0, running - ownRunning));
    const free = Math.max(0, slots - running);
    return Math.max(0, uncertain - free) * this.computeTurnMs(index);
  }

  /** Mean time until a slot becomes free while all are busy, in ms at nominal speed. */
  private computeTurnMs(index: number): number {
    const {occupancy, slots} = this.options.runners[index];
    if (occupancy.meanSlotMs === 0) return UNKNOWN_TURN_MS;
    return occupancy.meanSlotMs / Math.max(1, slots);
  }
}
