import type {Bill} from './bill.js';

interface Options {
  /** How many bills may wait for the log, own and held together. */
  readonly maxBills: number;
}

interface HeldBill {
  readonly bill: Bill;
  readonly owner: string;
  readonly boot: string;
  /** Monotonic ms. */
  readonly heldAt: number;
}

/** Bills that are not yet known to be in the log: this host's own, and those it holds for peers. */
export class BillOutbox {
  private readonly own = new Map<string, Bill>();
  private readonly held = new Map<string, HeldBill>();

  constructor(private readonly options: Options) {}

  /** False when the ledger is full, so the work must not be started. */
  hasCapacity(): boolean {
    return this.own.size + this.held.size < this.options.maxBills;
  }

  add(bill: Bill): void {
    this.own.set(bill.id, bill);
  }

  /** Keeps a peer's bill; false when there is no room for it. */
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

  /** The bills were read back from the log. */
  confirm(ids: readonly string[]): void {
    for (const id of ids) {
      this.own.delete(id);
      this.held.delete(id);
    }
  }

  /** Whether an own bill is still to be settled. */
  isPending(id: string): boolean {
    return this.own.has(id);
  }

  /** Own bills that are still to be settled, oldest first. */
  listPending(): Bill[] {
    return [...this.own.values()];
  }

  /** Makes the bills of a process that is gone this host's own. */
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
