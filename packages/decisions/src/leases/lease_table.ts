import type {LeaseRecord} from './lease_record.js';

interface Lease {
  readonly holder: string;
  readonly boot: string;
  /** Expiry time, by the log's clock. */
  readonly until: number;
  /** Offset of the record, which serves as the fencing token. It only grows. */
  readonly token: number;
  /** Whether its holder released it. */
  readonly isGivenUp: boolean;
}

/** Folds the lease stream. All readers agree on the holder, since only the log's order and clock count. */
export class LeaseTable {
  private readonly leases = new Map<string, Lease>();

  fold(record: LeaseRecord, offset: number, at: number): void {
    const current = this.leases.get(record.place);
    const isRenewal =
      current?.holder === record.holder && current.boot === record.boot;
    if (current && !isRenewal && current.until > at) return;
    this.leases.set(record.place, {
      holder: record.holder,
      boot: record.boot,
      until: at + record.ttlMs,
      token: offset,
      isGivenUp: record.ttlMs === 0,
    });
  }

  current(place: string): Lease | undefined {
    return this.leases.get(place);
  }
}
