interface Options {
  /** Retries earned by each first attempt. */
  readonly ratio?: number;
  /** Maximum number of saved retries. */
  readonly maxBalance?: number;
}

const RATIO = 0.1;
const MAX_BALANCE = 10;

/** Limits retries to a fraction of the traffic, so that they cannot amplify an overload. */
export class RetryBudget {
  private balance: number;
  private readonly ratio: number;
  private readonly maxBalance: number;

  constructor(options: Options = {}) {
    this.ratio = options.ratio ?? RATIO;
    this.maxBalance = options.maxBalance ?? MAX_BALANCE;
    this.balance = this.maxBalance;
  }

  /** Records a first attempt, which earns a fraction of a retry. */
  recordFirstAttempt(): void {
    this.balance = Math.min(this.maxBalance, this.balance + this.ratio);
  }

  /** Takes a retry from the budget; false when none is left. */
  trySpend(): boolean {
    if (this.balance < 1) return false;
    this.balance--;
    return true;
  }
}
