import {randomUUID} from 'node:crypto';
import {
  LeaseRecord,
  LeaseTable,
  type Log,
  type Sealer,
} from '@bayspool/decisions';
import type {Clock, Logger} from '@bayspool/kernel';
import type {HostIdentity} from '../host/host_identity.js';

interface Options {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly identity: HostIdentity;
  readonly log: Log;
  readonly sealer: Sealer;
  readonly ttlMs: number;
}

/** Part of the TTL that the holder does not use, as a margin for clocks that run at different speeds. */
const SAFETY_MARGIN = 0.2;

/**
 * The lease of this host's place, stored in the log. The holder counts the TTL from
 * before it sent the append, so it stops before another host can take over.
 */
export class PlaceLease {
  private readonly table = new LeaseTable();
  private readonly stream: string;
  private nextOffset = 0;
  private validUntil = -Infinity;
  private token = -1;
  /** Token of the current lease and when this host first read it, on the local clock. */
  private firstSeen = {token: -1, at: -Infinity};

  constructor(private readonly options: Options) {
    this.stream = `leases.${options.identity.place}`;
  }

  /** The fencing token while this process holds the lease, otherwise undefined. */
  heldToken(): number | undefined {
    return this.options.clock.now() < this.validUntil ? this.token : undefined;
  }

  /** Reads new records; renews the lease, or acquires it when it has expired or was released. */
  async renewOrAcquire(): Promise<void> {
    const {clock, identity} = this.options;
    await this.readStream();
    const current = this.table.current(identity.place);
    const isOwn = current?.boot === identity.boot;
    const isFree =
      !current ||
      current.isGivenUp ||
      clock.now() - this.firstSeen.at > this.options.ttlMs;
    if (isOwn || isFree) await this.appendLease(this.options.ttlMs);
  }

  /** Releases the lease, so that another host need not wait for it to expire. */
  async release(): Promise<void> {
    if (this.heldToken() === undefined) return;
    this.validUntil = -Infinity;
    await this.appendLease(0).catch(() => undefined);
    this.validUntil = -Infinity;
  }

  private async appendLease(ttlMs: number): Promise<void> {
    const {clock, log, sealer, identity} = this.options;
    const id = randomUUID();
    const sentAt = clock.now();
    const record = {
      type: 'lease',
      id,
      place: identity.place,
      holder: identity.id,
      boot: identity.boot,
      ttlMs,
    };
    await log.append(this.stream, [sealer.seal(record)]);
    await this.readStream();
    const current = this.table.current(identity.place);
    if (current?.boot !== identity.boot || ttlMs === 0) return;
    this.token = current.token;
    this.validUntil = sentAt + ttlMs * (1 - SAFETY_MARGIN);
  }

  private async readStream(): Promise<void> {
    const {log, sealer, clock, identity} = this.options;
    const page = await log.read(this.stream, this.nextOffset, {waitMs: 0});
    for (const record of page.records) {
      const parsed = LeaseRecord.safeParse(
        sealer.open(record.value).orDefault(undefined),
      );
      if (parsed.success)
        this.table.fold(parsed.data, record.offset, record.at);
      this.nextOffset = record.offset + 1;
    }
    const token = this.table.current(identity.place)?.token ?? -1;
    if (token !== this.firstSeen.token)
      this.firstSeen = {token, at: clock.now()};
  }
}
