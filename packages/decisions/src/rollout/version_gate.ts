import type {RatingCounts} from './rating_counts.js';
import type {GateVerdict} from './gate_verdict.js';

/** Decides on a version from the ratings of all hosts. */
export interface VersionGate {
  /** @param badRate Acceptable fraction of bad answers. */
  evaluate(evidence: RatingCounts, badRate: number): GateVerdict;
}
