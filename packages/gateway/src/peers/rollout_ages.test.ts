import assert from 'node:assert/strict';
import {test} from 'node:test';
import {canShiftSessions} from '@bayspool/decisions/calls';
import {VirtualClock} from '@bayspool/kernel';
import fc from 'fast-check';
import {EventLog} from '../observability/event_log.js';
import {Rollout} from '../rollouts/rollout.js';
import type {LoadDigest} from './load_digest.js';
import {LoadDigestRegistry} from './load_digest_registry.js';

const SERVICE = 'svc';
const PLACES = ['a', 'b'];
const DURATION_MS = 24_000;
/** How late the host that sees the order arrive may see it, in ms. */
const SEEN_LATE_MS = 500;
/** The longest way of a message, in ms. */
const MAX_WAY_MS = 300;
/** How far clocks are ahead or behind at most, in ms. */
const MAX_SKEW_MS = 5_000;
/** How long sums may be used again before they are made anew, in ms. */
const SUM_KEPT_MS = 100;
/** What is lost to whole milliseconds at each hand-over. */
const ROUNDING_MS = 1;

/** What is known of how much younger a host takes the order to be than it is. */
interface Lag {
  readonly at: number;
  readonly ms: number;
}

/** One host: what it knows of the order, and what it heard from others. */
class Host {
  rollout: Rollout;
  board: LoadDigestRegistry;
  lags: Lag[] = [];

  constructor(
    readonly name: string,
    readonly place: string,
    private readonly clock: VirtualClock,
  ) {
    this.rollout = this.createRollout(0, false);
    this.board = this.createBoard();
  }

  /** Starts anew with what its clock says, which may be ahead or behind. */
  restart(skewMs: number): void {
    const guessedMs = Math.max(0, this.clock.now() + skewMs);
    this.rollout = this.createRollout(guessedMs, false);
    this.board = this.createBoard();
    this.lags = [];
  }

  /** Sees the order arrive now. */
  see(): void {
    this.rollout = this.createRollout(0, true);
    this.noteLag(this.clock.now());
  }

  /** The lag that its sums have at most now, as these may be older than what it knows. */
  get toldLagMs(): number {
    const madeBy = this.clock.now() - SUM_KEPT_MS;
    const known = this.lags.filter(({at}) => at <= madeBy);
    return Math.min(...known.map(({ms}) => ms));
  }

  get lagMs(): number {
    return Math.min(...this.lags.map(({ms}) => ms));
  }

  take(from: string, sum: LoadDigest, lagMs: number): void {
    if (from === this.place) this.board.recordFleet(sum);
    else this.board.recordPlace(from, sum);
    const told = this.board.sumOthers().rollouts[SERVICE];
    if (told) this.rollout.mergeAge(told);
    this.noteLag(lagMs);
  }

  private noteLag(ms: number): void {
    this.lags.push({at: this.clock.now(), ms});
  }

  private createBoard(): LoadDigestRegistry {
    const {clock, place} = this;
    const own = () => ({
      runners: {},
      rollouts: {[SERVICE]: this.rollout.createDigest(0)},
    });
    return new LoadDigestRegistry({clock, place, createOwnDigest: own});
  }

  private createRollout(elapsedMs: number, isSeen: boolean): Rollout {
    const {clock} = this;
    const sink = {write: () => undefined};
    return new Rollout({
      clock,
      log: new EventLog({clock, host: this.name, sink}),
      order: {
        service: SERVICE,
        version: 'v2',
        durationMs: DURATION_MS,
        offset: 7,
      },
      elapsedMs,
      isSeen,
      statesFrom: 0,
    });
  }
}

const hostIndex = fc.nat({max: 4});
const way = fc.nat({max: MAX_WAY_MS});
const pause = fc.nat({max: 1_500});
const step = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      asks: hostIndex,
      answers: hostIndex,
      way,
      hold: fc.nat({max: 1_200}),
      back: way,
      isLost: fc.boolean(),
      pause,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      restarts: fc.integer({min: 1, max: 4}),
      skewMs: fc.integer({min: -MAX_SKEW_MS, max: MAX_SKEW_MS}),
      pause,
    }),
  },
);

/** One host asks another one: what it has goes there, and the sum over all comes back, unless it is lost. */
function exchange(
  clock: VirtualClock,
  asking: Host,
  answering: Host,
  {
    way,
    hold,
    back,
    isLost,
  }: {way: number; hold: number; back: number; isLost: boolean},
): void {
  const own = asking.board.own();
  const {board} = asking;
  clock.after(way, () => {
    if (asking.place === answering.place)
      answering.board.recordHost(asking.name, own);
    clock.after(hold, () => {
      const sum = answering.board.sumFor(asking.place);
      const lagMs = answering.toldLagMs + back + ROUNDING_MS;
      clock.after(back, () => {
        // A host that started anew does not get what it asked for before.
        if (!isLost && asking.board === board)
          asking.take(answering.place, sum, lagMs);
      });
    });
  });
}

function check(host: Host, ageMs: number): void {
  const {elapsedMs, isSeen} = host.rollout.createDigest(0);
  // Only where nobody who saw the order told its age is a time of day the best there is.
  const aheadMs = isSeen ? 0 : MAX_SKEW_MS;
  assert.ok(elapsedMs <= ageMs + aheadMs, `${elapsedMs} at ${ageMs} ms`);
  if (!host.rollout.isAgeKnown) assert.equal(elapsedMs, 0);
  if (!isSeen) return;
  const {lagMs} = host;
  if (Number.isFinite(lagMs))
    assert.ok(elapsedMs >= ageMs - lagMs - ROUNDING_MS, `${ageMs - elapsedMs}`);
  const mayMove = canShiftSessions({elapsedMs: ageMs, durationMs: DURATION_MS});
  if (!mayMove) assert.equal(host.rollout.shareOf({hasSession: true}), 0);
}

void test('no host takes an order to be older than it is, and none takes it to be younger by more than the ways on which its age came', () => {
  fc.assert(
    fc.property(
      fc.array(step, {minLength: 5, maxLength: 60}),
      fc.nat({max: SEEN_LATE_MS}),
      (steps, lateMs) => {
        const clock = new VirtualClock();
        const hosts = Array.from(
          {length: 5},
          (_, i) => new Host(`host-${i}`, PLACES[i % 2], clock),
        );
        clock.advance(lateMs);
        hosts[0].see();
        for (const one of steps) {
          if ('restarts' in one) hosts[one.restarts].restart(one.skewMs);
          else if (one.asks !== one.answers)
            exchange(clock, hosts[one.asks], hosts[one.answers], one);
          clock.advance(one.pause);
          for (const host of hosts) check(host, clock.now());
        }
      },
    ),
    {numRuns: 500},
  );
});
