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
/** Maximum delay until the first host observes the order, in ms. */
const MAX_OBSERVATION_DELAY_MS = 500;
/** Maximum one-way network delay of a message, in ms. */
const MAX_NETWORK_DELAY_MS = 300;
/** Maximum offset of a clock, ahead or behind, in ms. */
const MAX_SKEW_MS = 5_000;
/** How long the registry caches its sums, in ms. */
const SUM_CACHE_TTL_MS = 100;
/** Error from rounding to whole milliseconds at each relay. */
const ROUNDING_MS = 1;

/** Upper bound, from a given time on, of how much a host underestimates the age of the order. */
interface AgeLag {
  readonly at: number;
  readonly ms: number;
}

/** A host with its rollout and the load digests that it received. */
class Host {
  rollout: Rollout;
  loadDigests: LoadDigestRegistry;
  lags: AgeLag[] = [];

  constructor(
    readonly name: string,
    readonly place: string,
    private readonly clock: VirtualClock,
  ) {
    this.rollout = this.createRollout(0, false);
    this.loadDigests = this.createRegistry();
  }

  /** Restarts the host with the age that its wall clock suggests, which may be ahead or behind. */
  restart(skewMs: number): void {
    const estimatedMs = Math.max(0, this.clock.now() + skewMs);
    this.rollout = this.createRollout(estimatedMs, false);
    this.loadDigests = this.createRegistry();
    this.lags = [];
  }

  /** Observes the order now. */
  observeOrder(): void {
    this.rollout = this.createRollout(0, true);
    this.recordLag(this.clock.now());
  }

  /** Upper bound of the lag in the sums that this host sends now: they may be cached, so older than its own data. */
  get sumLagMs(): number {
    const computedBy = this.clock.now() - SUM_CACHE_TTL_MS;
    const included = this.lags.filter(({at}) => at <= computedBy);
    return Math.min(...included.map(({ms}) => ms));
  }

  get lagMs(): number {
    return Math.min(...this.lags.map(({ms}) => ms));
  }

  receive(fromPlace: string, sum: LoadDigest, lagMs: number): void {
    if (fromPlace === this.place) this.loadDigests.recordFleet(sum);
    else this.loadDigests.recordPlace(fromPlace, sum);
    const received = this.loadDigests.sumOthers().rollouts[SERVICE];
    if (received) this.rollout.mergeAge(received);
    this.recordLag(lagMs);
  }

  private recordLag(ms: number): void {
    this.lags.push({at: this.clock.now(), ms});
  }

  private createRegistry(): LoadDigestRegistry {
    const {clock, place} = this;
    const createOwnDigest = () => ({
      runners: {},
      rollouts: {[SERVICE]: this.rollout.createDigest(0)},
    });
    return new LoadDigestRegistry({clock, place, createOwnDigest});
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
const delayMs = fc.nat({max: MAX_NETWORK_DELAY_MS});
const pauseMs = fc.nat({max: 1_500});
const step = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      requester: hostIndex,
      responder: hostIndex,
      requestMs: delayMs,
      holdMs: fc.nat({max: 1_200}),
      responseMs: delayMs,
      isLost: fc.boolean(),
      pauseMs,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      restarted: fc.integer({min: 1, max: 4}),
      skewMs: fc.integer({min: -MAX_SKEW_MS, max: MAX_SKEW_MS}),
      pauseMs,
    }),
  },
);

/** Sends one host's digest to another, which responds with its sum, unless the response is lost. */
function sync(
  clock: VirtualClock,
  requester: Host,
  responder: Host,
  {
    requestMs,
    holdMs,
    responseMs,
    isLost,
  }: {requestMs: number; holdMs: number; responseMs: number; isLost: boolean},
): void {
  const own = requester.loadDigests.reportOwnDigest();
  const {loadDigests} = requester;
  clock.after(requestMs, () => {
    if (requester.place === responder.place)
      responder.loadDigests.recordHost(requester.name, own);
    clock.after(holdMs, () => {
      const sum = responder.loadDigests.sumFor(requester.place);
      const lagMs = responder.sumLagMs + responseMs + ROUNDING_MS;
      clock.after(responseMs, () => {
        // A restarted host does not get the response to an earlier request.
        if (!isLost && requester.loadDigests === loadDigests)
          requester.receive(responder.place, sum, lagMs);
      });
    });
  });
}

function check(host: Host, ageMs: number): void {
  const {elapsedMs, isSeen} = host.rollout.createDigest(0);
  // The age may come from a wall clock only until a host that observed the order has reported it.
  const aheadMs = isSeen ? 0 : MAX_SKEW_MS;
  assert.ok(elapsedMs <= ageMs + aheadMs, `${elapsedMs} at ${ageMs} ms`);
  if (!host.rollout.isAgeKnown) assert.equal(elapsedMs, 0);
  if (!isSeen) return;
  const {lagMs} = host;
  if (Number.isFinite(lagMs))
    assert.ok(elapsedMs >= ageMs - lagMs - ROUNDING_MS, `${ageMs - elapsedMs}`);
  const canShift = canShiftSessions({
    elapsedMs: ageMs,
    durationMs: DURATION_MS,
  });
  if (!canShift) assert.equal(host.rollout.shareOf({hasSession: true}), 0);
}

void test('no host overestimates the age of an order, or underestimates it by more than the network delays of the reports', () => {
  fc.assert(
    fc.property(
      fc.array(step, {minLength: 5, maxLength: 60}),
      fc.nat({max: MAX_OBSERVATION_DELAY_MS}),
      (steps, observedAtMs) => {
        const clock = new VirtualClock();
        const hosts = Array.from(
          {length: 5},
          (_, i) => new Host(`host-${i}`, PLACES[i % 2], clock),
        );
        clock.advance(observedAtMs);
        hosts[0].observeOrder();
        for (const action of steps) {
          if ('restarted' in action)
            hosts[action.restarted].restart(action.skewMs);
          else if (action.requester !== action.responder)
            sync(
              clock,
              hosts[action.requester],
              hosts[action.responder],
              action,
            );
          clock.advance(action.pauseMs);
          for (const host of hosts) check(host, clock.now());
        }
      },
    ),
    {numRuns: 500},
  );
});
