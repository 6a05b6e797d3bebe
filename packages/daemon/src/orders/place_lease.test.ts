import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Sealer, type Log, type LogPage} from '@bayspool/decisions';
import {VirtualClock} from '@bayspool/kernel';
import {MemoryLog} from '@bayspool/standins';
import {PlaceLease} from './place_lease.js';

const TTL_MS = 10_000;
const sealer = new Sealer({
  keys: [{id: 'k1', secret: 'lease-test-secret'}],
  purpose: 'record',
});
const logger = {
  error: () => undefined,
  warn: () => undefined,
  info: () => undefined,
  debug: () => undefined,
};

function createLease(id: string, clock: VirtualClock, log: Log): PlaceLease {
  const identity = {
    id,
    place: 'hall-a',
    boot: `${id}-boot`,
    incarnation: 1,
    peerAddress: '127.0.0.1:1',
    peerListen: '127.0.0.1:1',
  };
  return new PlaceLease({clock, logger, identity, log, sealer, ttlMs: TTL_MS});
}

void test('of two hosts one holds the lease, and the other acquires it with a higher token only after the first has stopped', async () => {
  const clock = new VirtualClock();
  const log = new MemoryLog({clock, retentionMs: 3_600_000});
  const one = createLease('one', clock, log);
  const two = createLease('two', clock, log);
  await one.renewOrAcquire();
  await two.renewOrAcquire();
  const firstToken = one.heldToken();
  assert.notEqual(firstToken, undefined);
  assert.equal(two.heldToken(), undefined);
  let acquiredToken: number | undefined;
  for (
    let waited = 0;
    acquiredToken === undefined && waited < 3 * TTL_MS;
    waited += 500
  ) {
    clock.advance(500);
    await two.renewOrAcquire();
    acquiredToken = two.heldToken();
    assert.ok(
      acquiredToken === undefined || one.heldToken() === undefined,
      'never two holders at once',
    );
  }
  assert.ok(acquiredToken !== undefined && acquiredToken > firstToken!);
});

void test('a holder that was paused for longer than the TTL has no lease when it resumes, and its old token is lower', async () => {
  const clock = new VirtualClock();
  const log = new MemoryLog({clock, retentionMs: 3_600_000});
  const paused = createLease('paused', clock, log);
  const other = createLease('other', clock, log);
  await paused.renewOrAcquire();
  const before = paused.heldToken()!;
  await other.renewOrAcquire();
  clock.advance(TTL_MS + 1);
  assert.equal(paused.heldToken(), undefined);
  await other.renewOrAcquire();
  await paused.renewOrAcquire();
  assert.equal(paused.heldToken(), undefined);
  assert.ok(other.heldToken()! > before);
});

/** A log whose append is slow, as when the request is delayed on the network. */
class SlowLog implements Log {
  constructor(
    private readonly log: Log,
    private readonly clock: VirtualClock,
    private readonly delayMs: number,
  ) {}

  async append(stream: string, values: readonly string[]): Promise<number> {
    const offset = await this.log.append(stream, values);
    this.clock.advance(this.delayMs);
    return offset;
  }

  read(
    stream: string,
    from: number,
    options: {waitMs: number},
  ): Promise<LogPage> {
    return this.log.read(stream, from, options);
  }
}

void test('the TTL of a lease counts from before the append was sent', async () => {
  const clock = new VirtualClock();
  const log = new MemoryLog({clock, retentionMs: 3_600_000});
  const slow = createLease('slow', clock, new SlowLog(log, clock, TTL_MS));
  await slow.renewOrAcquire();
  assert.equal(slow.heldToken(), undefined);
});

void test('a released lease is acquired at once', async () => {
  const clock = new VirtualClock();
  const log = new MemoryLog({clock, retentionMs: 3_600_000});
  const one = createLease('one', clock, log);
  const two = createLease('two', clock, log);
  await one.renewOrAcquire();
  await two.renewOrAcquire();
  await one.release();
  clock.advance(1);
  await two.renewOrAcquire();
  assert.notEqual(two.heldToken(), undefined);
});
