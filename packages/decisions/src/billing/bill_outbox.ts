import type {Bill} from './bill.js';

interface Options {
  /** Maximum number of unconfirmed bills, own and held ones together. */
  readonly maxBills: number;
}

interface HeldBill {
  readonly bill: Bill;
  readonly owner: string;
  readonly boot: string;
  /** Monotonic time in ms. */
  readonly heldAt: number;
}

/** Bills that are not confirmed to be in the log yet: this host's own, and those that it holds for peers. */
export class BillOutbox {
  private readonly own = new Map<string, Bill>();
  private readonly held = new Map<string, HeldBill>();

  constructor(private readonly options: Options) {}

  /** False when the outbox is full, so that a request must not be started. */
  hasCapacity(): boolean {
    return this.own.size + this.held.size < this.options.maxBills;
  }

  add(bill: Bill): void {
    this.own.set(bill.id, bill);
  }

  /** Stores a peer's bill; false when there is no capacity for it. */
  holdForPeer(
    bill: Bill,
    owner: string,
    boot: string,
    heldAt: number,
  ): boolean {
    if (!this.hasCapacity()) return false;
    this.held.set(bill.id, {bill, owner, boot, heldAt});
    return true;
  }

  /** Removes bills that were read back from the log. */
  confirm(ids: readonly string[]): void {
    for (const id of ids) {
      this.own.delete(id);
      this.held.delete(id);
    }
  }

  /** Whether an own bill is not confirmed yet. */
  isPending(id: string): boolean {
    return this.own.has(id);
  }

  /** Lists own bills that are not confirmed yet, oldest first. */
  listPending(): Bill[] {
    return [...this.own.values()];
  }

  /** Makes the held bills of processes that are gone this host's own; returns how many. */
  adoptOrphaned(
    isGone: (owner: string, boot: string, heldAt: number) => boolean,
  ): number {
    let adopted = 0;
    for (const [id, {bill, owner, boot, heldAt}] of this.held) {
      if (!isGone(owner, boot, heldAt)) continue;
      this.held.delete(id);
      this.own.set(id, bill);
      adopted++;
    }
    return adopted;
  }

  get ownCount(): number {
    return this.own.size;
  }

  get heldCount(): number {
    return this.held.size;
  }
}
