/** How the requests of one group ended. */
export interface LossRow {
  /** The route, place, second or reason that the group has in common. */
  readonly name: string;
  readonly calls: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  readonly cut: number;
  readonly left: number;
}
