import type {Clock} from '@bayspool/kernel';
import type {PresentRequests} from './present_requests.js';
import {toPresentRequests} from './to_present_requests.js';

interface Options {
  readonly clock: Clock;
}

/** A start of a runner that ended, as all hosts reported it. */
interface EndedRunner {
  /** When a request was last added or answered, on this host's clock. */
  changedAt: number;
  /** The requests that it had, by fingerprint, and whether each has been answered since. */
  readonly requests: Map<string, boolean>;
}

/** How long the requests of a runner that ended are remembered, in ms. */
const RETENTION_MS = 60_000;
/** How long they are gossiped, in ms: a few rounds between hosts and places. */
const GOSSIP_MS = 10_000;
/** Most runners that are remembered; the least recently changed are forgotten first. */
const MAX_RUNNERS = 256;
/** Most runners in a digest. */
const MAX_DIGEST_RUNNERS = 64;
/** Most requests of a runner; with more of them it is not known who was there. */
const MAX_REQUESTS = 32;

/** The requests that runners had when they ended, as all hosts know it, and which of them have been answered since. */
export class RunnerOccupants {
  private readonly runners = new Map<number, EndedRunner>();

  constructor(private readonly options: Options) {}

  /**
   * Adds what is known of the requests that a runner had when it ended.
   *
   * @returns whether any was not known
   */
  add(start: number, {unanswered, answered}: PresentRequests): boolean {
    const runner = this.runners.get(start) ?? {
      changedAt: -Infinity,
      requests: new Map<string, boolean>(),
    };
    const {requests} = runner;
    const added = [...unanswered, ...answered]
      .filter(fingerprint => !requests.has(fingerprint))
      .slice(0, MAX_REQUESTS + 1 - requests.size);
    for (const fingerprint of added) requests.set(fingerprint, false);
    const cleared = answered.filter(
      fingerprint => requests.get(fingerprint) === false,
    );
    for (const fingerprint of cleared) requests.set(fingerprint, true);
    if (added.length > 0 || cleared.length > 0) this.touch(start, runner);
    return added.length > 0;
  }

  /** Records that a request was answered, which clears it of all ends known so far. */
  recordAnswer(fingerprint: string): void {
    for (const [start, {requests}] of [...this.runners])
      if (requests.get(fingerprint) === false)
        this.add(start, {unanswered: [], answered: [fingerprint]});
  }

  /** Whether a request is the only one that a runner had at its end and that has not been answered since. */
  isOnlyUnanswered(start: number, fingerprint: string): boolean {
    const runner = this.runners.get(start);
    if (!runner || runner.requests.size > MAX_REQUESTS) return false;
    const {unanswered} = toPresentRequests(runner.requests);
    return unanswered.length === 1 && unanswered[0] === fingerprint;
  }

  /** Whether a request that a runner had at its end has been answered since. */
  isAnswered(start: number, fingerprint: string): boolean {
    return this.runners.get(start)?.requests.get(fingerprint) === true;
  }

  /** What is told to the other hosts, by the start of the runner. */
  createDigest(): Record<string, PresentRequests> {
    const now = this.options.clock.now();
    const recent = [...this.runners].filter(
      ([, {changedAt}]) => now - changedAt <= GOSSIP_MS,
    );
    return Object.fromEntries(
      recent
        .slice(-MAX_DIGEST_RUNNERS)
        .map(([start, runner]) => [start, toPresentRequests(runner.requests)]),
    );
  }

  /** Forgets runners past their retention. */
  expire(): void {
    const now = this.options.clock.now();
    for (const [start, {changedAt}] of this.runners)
      if (now - changedAt >= RETENTION_MS) this.runners.delete(start);
  }

  /** Moves a runner to the end of the map, so that the least recently changed one comes first. */
  private touch(start: number, runner: EndedRunner): void {
    runner.changedAt = this.options.clock.now();
    this.runners.delete(start);
    this.runners.set(start, runner);
    if (this.runners.size > MAX_RUNNERS)
      this.runners.delete([...this.runners.keys()][0]);
  }
}
