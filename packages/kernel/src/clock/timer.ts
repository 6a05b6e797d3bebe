/** A pending call made by {@link Clock.after}. */
export interface Timer {
  /** Prevents the call; harmless when it has already happened. */
  cancel(): void;
}
