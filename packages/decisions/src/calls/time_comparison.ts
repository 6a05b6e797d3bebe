/** How the times of a new version compare with those of the old one under like conditions. */
export interface TimeComparison {
  /** Responses of the new version that were compared. */
  readonly compared: number;
  /** Probability that a response of the new version took longer than one of the old version; 0.5 if they are alike. */
  readonly longerShare: number;
  /** Standard deviations of chance by which that probability exceeds 0.5. */
  readonly deviations: number;
}
