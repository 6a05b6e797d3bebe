import {VirtualClock} from '@bayspool/kernel';
import type {RandomSource} from '@bayspool/kernel';
import {SharedRetryBudget} from '../shared_retry_budget.js';
import {findRetryExcess} from './find_retry_excess.js';

interface Options {
  readonly random: RandomSource;
  readonly hosts: number;
  /** Requests a second at all hosts together. */
  readonly perSecond: number;
  /** Longest time until a runner has failed a request, in ms. */
  readonly mostWorkMs: number;
  /** Longest time until a connection for a retry is there, in ms. */
  readonly mostConnectMs: number;
  /** Retries that all hosts together may send. */
  readonly bound: RetryBound;
}

interface RetryBound {
  readonly ratio: number;
  readonly extra: number;
  readonly windowMs: number;
}

interface Arrival {
  readonly id: string;
  readonly at: number;
}

/** One life of a host. */
interface HostRun {
  readonly budget: SharedRetryBudget;
  /** Most hosts that it ever took to share the allowance. */
  maxBelievedHosts: number;
  /** What happens to it waits until then, in ms. */
  pausedUntil: number;
}

/** Runners that one request may reach. */
const MAX_ATTEMPTS = 3;
/** Share of the requests of which a caller holds a piece when they fail. */
const PARTIAL_ANSWER_SHARE = 0.5;
const MS_PER_SECOND = 1_000;

/**
 * Hosts with a budget each, whose runners fail all they run, on a virtual clock: what arrives at the runners is as much
 * as the budgets let through.
 */
export class RetrySimulation {
  private readonly clock = new VirtualClock();
  private readonly hosts: HostRun[];
  private readonly arrivals: Arrival[] = [];
  private readonly sentAt: number[] = [];

  constructor(private readonly options: Options) {
    const {hosts} = options;
    this.hosts = Array.from({length: hosts}, () => this.createHost(hosts));
  }

  /**
   * Lets callers send for a time.
   *
   * @param indices hosts that they send to; all if left out
   */
  run(forMs: number, indices = [...this.hosts.keys()]): void {
    const until = this.clock.now() + forMs;
    const gapMs = MS_PER_SECOND / this.options.perSecond;
    while (this.clock.now() < until) {
      this.clock.advance(2 * gapMs * this.options.random.next());
      this.send(indices[this.options.random.below(indices.length)]);
    }
  }

  /**
   * Ends a host with all it has in hand, and starts it again.
   *
   * @param believed hosts that it takes to share the allowance from then on
   */
  restartHost(index: number, believed = this.options.hosts): void {
    this.hosts[index] = this.createHost(believed);
  }

  /** Sets how many hosts a host takes to share the allowance. */
  setBelievedHosts(index: number, hosts: number): void {
    const host = this.hosts[index];
    host.maxBelievedHosts = Math.max(host.maxBelievedHosts, hosts);
  }

  /** A host stands still. */
  pauseHost(index: number, forMs: number): void {
    this.hosts[index].pausedUntil = this.clock.now() + forMs;
  }

  /** The worst window in which there were more retries than are allowed; undefined if there was none. */
  findExcess(): ReturnType<typeof findRetryExcess> {
    const {arrivals, sentAt, options} = this;
    return findRetryExcess({...options.bound, arrivals, sentAt});
  }

  private createHost(believed: number): HostRun {
    const {ratio, extra, windowMs} = this.options.bound;
    const budget: SharedRetryBudget = new SharedRetryBudget({
      clock: this.clock,
      ratio: () => ratio,
      extra: () => extra,
      windowMs,
      startedAt: this.clock.now(),
      hosts: () => host.maxBelievedHosts,
    });
    const host: HostRun = {budget, maxBelievedHosts: believed, pausedUntil: 0};
    return host;
  }

  private send(index: number): void {
    const host = this.hosts[index];
    const id = `r${this.sentAt.length}`;
    this.sentAt.push(this.clock.now());
    this.scheduleAtHost(host, 0, () => {
      host.budget.recordCall();
      this.sendAttempt(host, id, 1);
    });
  }

  private sendAttempt(host: HostRun, id: string, count: number): void {
    this.arrivals.push({id, at: this.clock.now()});
    if (count === MAX_ATTEMPTS) return;
    const {random, mostWorkMs, mostConnectMs} = this.options;
    const workMs = random.next() * mostWorkMs;
    const hasBegun = random.next() < PARTIAL_ANSWER_SHARE;
    this.scheduleAtHost(host, workMs, () => {
      const reservation = host.budget.reserve({hasPartialAnswer: hasBegun});
      if (!reservation) return;
      this.scheduleAtHost(host, random.next() * mostConnectMs, () => {
        if (reservation.spend()) this.sendAttempt(host, id, count + 1);
      });
    });
  }

  /** Does something at a host after a delay, once it does not stand still; not if it was started again meanwhile. */
  private scheduleAtHost(
    host: HostRun,
    delayMs: number,
    action: () => void,
  ): void {
    this.clock.after(delayMs, () => {
      if (!this.hosts.includes(host)) return;
      const frozenMs = host.pausedUntil - this.clock.now();
      if (frozenMs > 0) this.scheduleAtHost(host, frozenMs, action);
      else action();
    });
  }
}
