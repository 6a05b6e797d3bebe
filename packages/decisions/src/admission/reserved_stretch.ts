/** Work for which capacity is reserved in a part of one interval; times are in ms from now. */
export interface ReservedStretch {
  readonly fromMs: number;
  readonly toMs: number;
  /** Reserved work, in ms of slot time; above 0. */
  readonly workMs: number;
}
