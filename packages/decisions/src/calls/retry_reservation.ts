interface Options {
  /** Counts the retry as sent now; returns false if it may not be sent any more. */
  readonly onSpend: () => boolean;
  /** Returns the reservation to the budget. */
  readonly onRelease: () => void;
}

/** Reservation of one retry in a retry budget, made before the retry is sent. */
export class RetryReservation {
  private open = true;

  constructor(private readonly options: Options) {}

  /** Whether the reservation has been neither spent nor released. */
  get isOpen(): boolean {
    return this.open;
  }

  /**
   * Spends the reservation; to be called when the retry is sent, as the budget may have changed
   * since.
   *
   * @returns whether the retry may be sent
   */
  spend(): boolean {
    if (!this.open) return false;
    this.release();
    return this.options.onSpend();
  }

  /** Returns the reservation if the retry was not sent. */
  release(): void {
    if (!this.open) return;
    this.open = false;
    this.options.onRelease();
  }
}
