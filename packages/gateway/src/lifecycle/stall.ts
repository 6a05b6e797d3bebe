/** An interval in which the process did not run, on its clock for ages. */
export interface Stall {
  readonly fromAt: number;
  readonly untilAt: number;
}
