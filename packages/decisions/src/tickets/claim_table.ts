import type {ClaimRecord} from './claim_record.js';

interface Entry {
  readonly claim: ClaimRecord;
  /** Time of the append, by the log's clock. */
  readonly at: number;
}

/** Folds the claims stream of a place: the first claim of a key within the window wins. */
export class ClaimTable {
  private readonly winners = new Map<string, Entry>();

  /** @param windowMs How long a key stays claimed, by the log's clock; shorter than the log's retention. */
  constructor(private readonly windowMs: number) {}

  fold(entry: ClaimRecord, at: number): void {
    this.expire(at);
    if (!this.winners.has(entry.key))
      this.winners.set(entry.key, {claim: entry, at});
  }

  findWinner(key: string): ClaimRecord | undefined {
    return this.winners.get(key)?.claim;
  }

  get size(): number {
    return this.winners.size;
  }

  private expire(now: number): void {
    for (const [key, entry] of this.winners) {
      if (entry.at + this.windowMs > now) break;
      this.winners.delete(key);
    }
  }
}
