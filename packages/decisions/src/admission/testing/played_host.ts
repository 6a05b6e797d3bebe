import type {Clock} from '@bayspool/kernel';
import {sumDemandDigests} from '../sum_demand_digests.js';
import {OverloadControl} from '../overload_control.js';
import type {DemandDigest} from '../demand_digest.js';
import type {FifoRunner} from './fifo_runner.js';

interface Options {
  readonly clock: Clock;
  readonly runners: readonly FifoRunner[];
  readonly slots: number;
  readonly hosts: number;
  /** Runner with which the host begins to take turns. */
  readonly firstRunner: number;
}

/** What a host sends to the others. */
interface HostDigest {
  readonly demand: DemandDigest;
  readonly running: number;
}

const DIGEST_TTL_MS = 3_000;
const NO_DEMAND: DemandDigest = {byPriority: {}, backlogMs: 0, rejected: 0};

/** A host of the fixture: its admission control, its requests in flight, and what it knows of the others. */
export class PlayedHost {
  readonly control: OverloadControl;
  private readonly received = new Map<
    PlayedHost,
    {readonly digest: HostDigest; readonly at: number}
  >();
  private running = 0;
  private turn: number;

  constructor(private readonly options: Options) {
    const {clock, slots, hosts, firstRunner} = options;
    this.turn = firstRunner;
    this.control = new OverloadControl({
      clock,
      hosts: () => hosts,
      capacity: () => {
        const running = this.running + this.sumPeers(({running}) => running);
        const backlogMs =
          this.control.createDigest().backlogMs +
          this.sumPeers(({demand}) => demand.backlogMs);
        const lastAt = Math.max(
          -Infinity,
          ...[...this.received.values()].map(({at}) => at),
        );
        const ageMs = clock.now() - lastAt;
        return {slots, running, backlogMs, workPerMs: slots, ageMs};
      },
    });
  }

  createDigest(): HostDigest {
    return {demand: this.control.createDigest(), running: this.running};
  }

  receive(from: PlayedHost, digest: HostDigest): void {
    this.received.set(from, {digest, at: this.options.clock.now()});
    let sum = NO_DEMAND;
    for (const {demand} of this.listFresh())
      sum = sumDemandDigests(sum, demand);
    this.control.applyPeerDigest(sum);
  }

  /** Sends work to the runners in turn. @returns false if all reject it */
  send(workMs: number, onEnd: () => void): boolean {
    const {runners} = this.options;
    this.turn++;
    for (let i = 0; i < runners.length; i++) {
      const runner = runners[(this.turn + i) % runners.length];
      const end = () => {
        this.running--;
        this.control.recordEnded(workMs);
        onEnd();
      };
      if (!runner.accept({workMs, onEnd: end})) continue;
      this.running++;
      this.control.recordSent(workMs);
      return true;
    }
    return false;
  }

  private sumPeers(figure: (digest: HostDigest) => number): number {
    return this.listFresh().reduce((sum, digest) => sum + figure(digest), 0);
  }

  private listFresh(): HostDigest[] {
    const from = this.options.clock.now() - DIGEST_TTL_MS;
    return [...this.received.values()]
      .filter(({at}) => at >= from)
      .map(({digest}) => digest);
  }
}
