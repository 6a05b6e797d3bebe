interface Options {
  /** Retries earned by each first attempt. */
  readonly ratio?: number;
  /** Retries that can be saved up. */
  readonly maxBalance?: number;
}

const RATIO = 0.1;
const MAX_BALANCE = 10;

/** Bounds retries to a part of the traffic, so that they cannot multiply an overload. */
export class RetryBudget {
  private balance: number;
  private readonly ratio: number;
  private readonly maxBalance: number;

  constructor(options: Options = {}) {
    this.ratio = options.ratio ?? RATIO;
    this.maxBalance = options.maxBalance ?? MAX_BALANCE;
    this.balance = this.maxBalance;
  }

  /** Counts a first attempt. */
  recordFirstAttempt(): void {
    this.balance = Math.min(this.maxBalance, this.balance + this.ratio);
  }

  /** Takes one retry out of the budget; false when there is none. */
  trySpend(): boolean {
    if (this.balance < 1) return false;
    this.balance--;
    return true;
  }
}
