/** Counts of one version's attempts on one route with one model. */
export interface CellTally {
  ended: number;
  failed: number;
  slow: number;
}
