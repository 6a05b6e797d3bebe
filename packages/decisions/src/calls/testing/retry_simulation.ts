import {VirtualClock} from '@bayspool/kernel';
import type {RandomSource} from '@bayspool/kernel';
import {SharedRetryBudget} from '../shared_retry_budget.js';
import type {Membership} from '../membership.js';
import type {RetryCounts} from '../retry_counts.js';
import {RetryPurpose} from '../retry_purpose.js';
import {findRetryExcess} from './find_retry_excess.js';

interface Options {
  readonly random: RandomSource;
  readonly hosts: number;
  /** Requests per second at all hosts together. */
  readonly perSecond: number;
  /** Maximum time until a runner has failed a request, in ms. */
  readonly maxWorkMs: number;
  /** Maximum time to connect for a retry, in ms. */
  readonly maxConnectMs: number;
  /** Bound on the retries of all hosts together. */
  readonly bound: RetryBound;
  /** What the hosts know at the start; all of the others by default. */
  readonly known?: KnownHosts;
  /** Share of retries that improve a response; none by default. */
  readonly improvementShare?: number;
  /** What the hosts are told of the counts of all others; nothing by default. */
  readonly peerCounts?: RetryCounts;
}

interface RetryBound {
  readonly ratio: number;
  readonly extra: number;
  readonly windowMs: number;
}

/** What a host knows of the number of hosts. */
interface KnownHosts {
  /** Hosts that it has heard of, including itself. */
  readonly heardOf: number;
  /** Whether it has loaded the registry of hosts; true by default. */
  readonly hasRegistry?: boolean;
  /** Whether the registry was complete when it was last read; true by default. */
  readonly isComplete?: boolean;
}

interface Arrival {
  readonly id: string;
  readonly at: number;
}

/** A host between two restarts. */
interface HostRun {
  readonly budget: SharedRetryBudget;
  known: KnownHosts;
  /** Events at the host are delayed until this time, in ms. */
  pausedUntil: number;
}

/** Maximum number of runners that a request may reach. */
const MAX_ATTEMPTS = 3;
/** Share of failing requests whose caller has received part of the response. */
const PARTIAL_RESPONSE_SHARE = 0.5;
const MS_PER_SECOND = 1_000;

/**
 * Simulates hosts with a retry budget each, whose runners fail every request, on a virtual clock.
 * The arrivals at the runners are as many as the budgets allow.
 */
export class RetrySimulation {
  private readonly clock = new VirtualClock();
  private readonly hosts: HostRun[];
  private readonly arrivals: Arrival[] = [];
  private readonly sentAt: number[] = [];

  constructor(private readonly options: Options) {
    const {hosts} = options;
    const known = options.known ?? {heardOf: hosts};
    this.hosts = Array.from({length: hosts}, () => this.createHost(known));
  }

  /**
   * Lets callers send requests for some time.
   *
   * @param indices hosts that they send to; all by default
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
   * Restarts a host; requests in progress are lost.
   *
   * @param known what it knows afterwards; all of the others by default
   */
  restartHost(
    index: number,
    known: KnownHosts = {heardOf: this.options.hosts},
  ): void {
    this.hosts[index] = this.createHost(known);
  }

  /** Lets a host learn of others; it forgets none that it has heard of. */
  learnHosts(index: number, known: KnownHosts): void {
    const host = this.hosts[index];
    const heardOf = Math.max(host.known.heardOf, known.heardOf);
    host.known = {...known, heardOf};
  }

  /** Pauses a host. */
  pauseHost(index: number, forMs: number): void {
    this.hosts[index].pausedUntil = this.clock.now() + forMs;
  }

  /** The window that exceeds the allowed retries by most; undefined if none does. */
  findExcess(): ReturnType<typeof findRetryExcess> {
    const {arrivals, sentAt, options} = this;
    return findRetryExcess({...options.bound, arrivals, sentAt});
  }

  /** Number of retries that reached a runner, and of requests. */
  get totals(): {readonly retries: number; readonly requests: number} {
    const reached = new Set(this.arrivals.map(({id}) => id));
    const retries = this.arrivals.length - reached.size;
    return {retries, requests: this.sentAt.length};
  }

  private createHost(known: KnownHosts): HostRun {
    const {ratio, extra, windowMs} = this.options.bound;
    const budget: SharedRetryBudget = new SharedRetryBudget({
      clock: this.clock,
      ratio: () => ratio,
      extra: () => extra,
      windowMs,
      startedAt: this.clock.now(),
      membership: () => toMembership(host.known),
      peerCounts: () => this.options.peerCounts,
    });
    const host: HostRun = {budget, known, pausedUntil: 0};
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
    const {random, maxWorkMs, maxConnectMs} = this.options;
    const workMs = random.next() * maxWorkMs;
    const purpose = this.drawPurpose();
    this.scheduleAtHost(host, workMs, () => {
      const reservation = host.budget.reserve({purpose});
      if (!reservation) return;
      this.scheduleAtHost(host, random.next() * maxConnectMs, () => {
        if (reservation.spend()) this.sendAttempt(host, id, count + 1);
      });
    });
  }

  private drawPurpose(): RetryPurpose {
    const {random, improvementShare = 0} = this.options;
    const hasPartialResponse = random.next() < PARTIAL_RESPONSE_SHARE;
    if (improvementShare > 0 && random.next() < improvementShare)
      return RetryPurpose.IMPROVEMENT;
    return hasPartialResponse
      ? RetryPurpose.PARTIAL_RESPONSE
      : RetryPurpose.FAILURE;
  }

  /**
   * Runs an action at a host after a delay, or when its pause ends; drops it if the host has
   * restarted meanwhile.
   */
  private scheduleAtHost(
    host: HostRun,
    delayMs: number,
    action: () => void,
  ): void {
    this.clock.after(delayMs, () => {
      if (!this.hosts.includes(host)) return;
      const pausedMs = host.pausedUntil - this.clock.now();
      if (pausedMs > 0) this.scheduleAtHost(host, pausedMs, action);
      else action();
    });
  }
}

function toMembership({
  heardOf,
  hasRegistry = true,
  isComplete = hasRegistry,
}: KnownHosts): Membership {
  return {hosts: hasRegistry ? heardOf : undefined, isComplete};
}
