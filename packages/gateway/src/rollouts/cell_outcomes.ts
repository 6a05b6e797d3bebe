/** Mutable counts of one version's attempts on one route with one model. */
export interface CellOutcomes {
  ended: number;
  failed: number;
  slow: number;
  /** Failed attempts without a whole response; absent if there were none. */
  lost?: number;
}
