import type {VersionGate} from './version_gate.js';
import {GateVerdict} from './gate_verdict.js';

const RATINGS_PER_STEP = 50;

/** Baseline gate: passes each step after a number of ratings, regardless of their results. */
export class RatingCountGate implements VersionGate {
  evaluate(evidence: {good: number; bad: number}): GateVerdict {
    return evidence.good + evidence.bad >= RATINGS_PER_STEP
      ? GateVerdict.PASS
      : GateVerdict.WAIT;
  }
}
