import type {RatingCounts} from './rating_counts.js';
import type {GateVerdict} from './gate_verdict.js';

/** Judges a version on pooled evidence. */
export interface VersionGate {
  /** @param badRate The part of bad answers that is acceptable. */
  evaluate(evidence: RatingCounts, badRate: number): GateVerdict;
}
