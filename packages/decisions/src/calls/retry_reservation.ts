interface Options {
  /** Counts the repeat as sent now; false if it may not be sent any more. */
  readonly onSpend: () => boolean;
  /** Gives the room back. */
  readonly onRelease: () => void;
}

/** Room in a retry budget for one repeat that is about to be sent. */
export class RetryReservation {
  private isOpen = true;

  constructor(private readonly options: Options) {}

  /** To be called as the repeat is sent: time may have passed since. @returns whether it may be sent */
  spend(): boolean {
    if (!this.isOpen) return false;
    this.release();
    return this.options.onSpend();
  }

  /** Gives the room back if the repeat was not sent. */
  release(): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.options.onRelease();
  }
}
