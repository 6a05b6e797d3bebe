import {SeededRandom, VirtualClock} from '@bayspool/kernel';
import {FifoRunner} from './fifo_runner.js';
import type {LoadStream} from './load_stream.js';
import {PlayedHost} from './played_host.js';
import type {StreamResult} from './stream_result.js';

interface Options {
  readonly streams: readonly LoadStream[];
  readonly seed: number;
  readonly hosts?: number;
  readonly runners?: number;
  readonly slots?: number;
  /** Age of a digest when it arrives, in ms. */
  readonly digestDelayMs?: number;
  readonly forMs?: number;
  /** Calls that arrive earlier are not counted. */
  readonly countedFrom?: number;
  /** When one host is killed; its callers go on to the others. */
  readonly killedAt?: number;
}

interface PlayedLoad {
  readonly results: Readonly<Record<string, StreamResult>>;
  /**
   * Calls that waited or were rejected although a slot was free; not counted while a killed host's digest is still used.
   */
  readonly heldWhileFree: number;
}

const MAX_QUEUED = 24;
const EXCHANGE_MS = 400;
/** How long the digest of a host is used. */
const DIGEST_TTL_MS = 3_000;

/** Plays calls against hosts with admission control and runners with slots. */
export async function playLoad({
  streams,
  seed,
  hosts: hostCount = 4,
  runners: runnerCount = 3,
  slots = 8,
  digestDelayMs = 100,
  forMs = 20_000,
  countedFrom = 0,
  killedAt = Infinity,
}: Options): Promise<PlayedLoad> {
  const clock = new VirtualClock();
  const random = new SeededRandom(seed);
  const runners = Array.from(
    {length: runnerCount},
    () => new FifoRunner({clock, slots, maxQueued: MAX_QUEUED}),
  );
  const hosts = Array.from(
    {length: hostCount},
    () =>
      new PlayedHost({
        clock,
        runners,
        slots: slots * runnerCount,
        hosts: hostCount,
        firstRunner: random.below(runnerCount),
      }),
  );
  const results: Record<string, StreamResult> = {};
  let heldWhileFree = 0;
  const isAlive = (host: PlayedHost) =>
    host !== hosts[0] || clock.now() < killedAt;

  /** Whether a killed host still counts as alive at the others. */
  const isMissed = () =>
    clock.now() >= killedAt &&
    clock.now() < killedAt + digestDelayMs + DIGEST_TTL_MS;
  const exchange = (host: PlayedHost) => {
    if (!isAlive(host)) return;
    const digest = host.createDigest();
    clock.after(digestDelayMs, () => {
      for (const other of hosts)
        if (other !== host) other.receive(host, digest);
    });
    clock.after(EXCHANGE_MS, () => exchange(host));
  };
  for (const host of hosts)
    clock.after(random.next() * EXCHANGE_MS, () => exchange(host));

  const call = async (
    stream: LoadStream,
    result: StreamResult,
  ): Promise<void> => {
    const alive = hosts.filter(isAlive);
    const host = alive[random.below(alive.length)];
    const arrivedAt = clock.now();
    result.arrived++;
    const isFree = runners.reduce((sum, {spare}) => sum + spare, 0) > 0;
    const {priority, workspace, workMs, targetMs, limitMs} = stream;
    const decision = await host.control.request(
      {
        priority,
        workspace,
        workMs,
        targetAt: arrivedAt + targetMs,
        deadlineAt: arrivedAt + limitMs,
      },
      new AbortController().signal,
    );
    if (!isAlive(host)) return;
    const reject = (): void => {
      result.rejectedAfterMs.push(clock.now() - arrivedAt);
    };
    if (decision.waitedMs > 0) result.waited++;
    const isHeld = !decision.isSent || decision.waitedMs > 0;
    if (isHeld && isFree && !isMissed()) heldWhileFree++;
    if (!decision.isSent) return reject();
    const isSent = host.send(workMs, () => {
      if (!isAlive(host)) return;
      const tookMs = clock.now() - arrivedAt;
      if (tookMs <= limitMs) result.answered++;
      if (tookMs <= targetMs) result.inTime++;
    });
    if (!isSent) reject();
  };
  for (const stream of streams) {
    const result = createResult();
    results[stream.name] = result;
    const scheduleNext = () => {
      const gapMs = (-Math.log(1 - random.next()) / stream.perSecond) * 1_000;
      clock.after(gapMs, () => {
        if (clock.now() > forMs) return;
        void call(stream, clock.now() < countedFrom ? createResult() : result);
        scheduleNext();
      });
    };
    scheduleNext();
  }
  const longestMs = Math.max(...streams.map(({limitMs}) => limitMs));
  await clock.advanceSettled(forMs + longestMs);
  return {results, heldWhileFree};
}

function createResult(): StreamResult {
  return {arrived: 0, inTime: 0, answered: 0, waited: 0, rejectedAfterMs: []};
}
