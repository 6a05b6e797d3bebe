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
  readonly seal: Sealer;
  readonly ttlMs: number;
}

/** The part of the lease's time that is not used, against clocks that run at different speeds. */
const SAFETY_MARGIN = 0.2;

/**
 * The lease of this host's place, kept in the log. A holder counts its time from
 * before the append was sent, so it stops before anyone else can begin.
 */
export class PlaceLease {
  private readonly table = new LeaseTable();
  private readonly stream: string;
  private nextOffset = 0;
  private validUntil = -Infinity;
  private token = -1;
  /** When the present lease was first seen here, on the local clock, and its token. */
  private firstSeen = {token: -1, at: -Infinity};

  constructor(private readonly options: Options) {
    this.stream = `leases.${options.identity.place}`;
  }

  /** The fencing token while this process holds the lease, else nothing. */
  heldToken(): number | undefined {
    return this.options.clock.now() < this.validUntil ? this.token : undefined;
  }

  /** Reads the stream on; renews the lease, or takes it when it has ended. */
  async renewOrAcquire(): Promise<void> {
    const {clock, identity} = this.options;
    await this.readStream();
    const current = this.table.current(identity.place);
    const isOwn = current?.boot === identity.boot;
    const hasEnded =
      !current ||
      current.isGivenUp ||
      clock.now() - this.firstSeen.at > this.options.ttlMs;
    if (isOwn || hasEnded) await this.appendLease(this.options.ttlMs);
  }

  /** Gives the lease up, so that another host need not wait for its end. */
  async release(): Promise<void> {
    if (this.heldToken() === undefined) return;
    this.validUntil = -Infinity;
    await this.appendLease(0).catch(() => undefined);
    this.validUntil = -Infinity;
  }

  private async appendLease(ttlMs: number): Promise<void> {
    const {clock, log, seal, identity} = this.options;
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
    await log.append(this.stream, [seal.seal(record)]);
    await this.readStream();
    const current = this.table.current(identity.place);
    if (current?.boot !== identity.boot || ttlMs === 0) return;
    this.token = current.token;
    this.validUntil = sentAt + ttlMs * (1 - SAFETY_MARGIN);
  }

  private async readStream(): Promise<void> {
    const {log, seal, clock, identity} = this.options;
    const page = await log.read(this.stream, this.nextOffset, {waitMs: 0});
    for (const record of page.records) {
      const parsed = LeaseRecord.safeParse(
        seal.open(record.value).orDefault(undefined),
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
