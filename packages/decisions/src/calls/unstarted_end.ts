/** The end of a runner while it had a stream without a head, which counts once it is known who else was there. */
export interface UnstartedEnd {
  readonly fingerprint: string;
  /** Identifies the start of the runner, as in `RunnerCrash`. */
  readonly start: number;
  /** When it was known that the runner had ended, in ms. */
  readonly notedAt: number;
}
