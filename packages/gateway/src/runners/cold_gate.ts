import {coldShare, SlidingCount} from '@bayspool/decisions/calls';
import type {ColdLimits} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import {KeptByRunner} from './kept_by_runner.js';
import type {Runner} from './runner.js';

interface Options {
  readonly clock: Clock;
  /** The name of this host. */
  readonly host: string;
  /** Names of the hosts entered in a place, whether they answer or not, so that all hosts agree on them. */
  readonly hostsOf: (place: string) => readonly string[];
  /** Names of all hosts entered. */
  readonly allHosts: () => readonly string[];
  /** What cold runners of a service bear; undefined if the platform sets no bound. */
  readonly limitsOf: (service: string) => ColdLimits | undefined;
}

/** Window over which calls to a cold runner are counted, in ms: over the second of the bound by the count's own steps. */
const WINDOW_MS = 1_100;
/** How long a share is kept before hosts are looked at again, in ms. */
const SHARE_KEPT_MS = 500;

/** Bounds what this host sends to runners that have just started and are still slow. */
export class ColdGate {
  private readonly sent = new Map<string, SlidingCount>();
  private readonly shares: KeptByRunner<number>;

  constructor(private readonly options: Options) {
    const {clock} = options;
    this.shares = new KeptByRunner({
      clock,
      keptMs: SHARE_KEPT_MS,
      find: runner => this.findShare(runner),
    });
  }

  /** Whether a call may be sent to a runner now. */
  isOpen(runner: Runner): boolean {
    if (!runner.isCold) return true;
    const {id, service} = runner.entry;
    // A bound that has just come into force holds at once.
    if (!this.options.limitsOf(service)) return true;
    const sent = this.sent.get(id)?.total ?? 0;
    return sent < this.shares.of(runner);
  }

  /** Notes that a call is sent to a runner now. */
  noteSent(runner: Runner): void {
    const {id} = runner.entry;
    if (!runner.isCold) return void this.sent.delete(id);
    const {clock} = this.options;
    const count =
      this.sent.get(id) ?? new SlidingCount({clock, windowMs: WINDOW_MS});
    this.sent.set(id, count);
    count.add();
  }

  /** Forgets a runner that is gone. */
  forget(id: string): void {
    this.sent.delete(id);
  }

  private findShare({entry: {id, place, service}}: Runner): number {
    const {host, hostsOf, allHosts, limitsOf} = this.options;
    const limits = limitsOf(service);
    if (!limits) return Infinity;
    // Hosts of its own place reach it on the shortest way, and most calls stay in their place.
    const near = hostsOf(place);
    const hosts = near.length > 0 ? near : allHosts();
    return coldShare({runner: id, host, hosts, limits});
  }
}
