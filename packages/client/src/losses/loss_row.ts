/** The requests of one group, counted by outcome. */
export interface LossRow {
  /** The route, place, second or reason that the requests share. */
  readonly name: string;
  readonly calls: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  readonly cut: number;
  readonly left: number;
}
