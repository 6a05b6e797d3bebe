import type {RatingCounts} from './rating_counts.js';
import type {VersionGate} from './version_gate.js';
import {GateVerdict} from './gate_verdict.js';

interface Options {
  /** Probability of halting a good version during one stage. */
  readonly falseHaltProbability?: number;
  /** Probability of passing a bad version. */
  readonly falsePassProbability?: number;
  /** Added to the acceptable rate of bad answers to get the bad rate. */
  readonly margin?: number;
}

const FALSE_HALT_PROBABILITY = 0.002;
const FALSE_PASS_PROBABILITY = 0.01;
const MARGIN = 0.15;
const MIN_RATE = 0.01;
const MAX_RATE = 0.98;

/**
 * Wald's sequential probability ratio test between an acceptable rate of bad
 * answers p0 and a bad one p1 = p0 + margin. It halts at ln((1-b)/a) and passes
 * at ln(b/(1-a)), where a is the probability of a false halt and b that of a false pass.
 */
export class SequentialGate implements VersionGate {
  private readonly haltThreshold: number;
  private readonly passThreshold: number;
  private readonly margin: number;

  constructor(options: Options = {}) {
    const falseHalt = options.falseHaltProbability ?? FALSE_HALT_PROBABILITY;
    const falsePass = options.falsePassProbability ?? FALSE_PASS_PROBABILITY;
    this.margin = options.margin ?? MARGIN;
    this.haltThreshold = Math.log((1 - falsePass) / falseHalt);
    this.passThreshold = Math.log(falsePass / (1 - falseHalt));
  }

  evaluate(evidence: RatingCounts, badRate: number): GateVerdict {
    const logRatio = this.computeLogRatio(evidence, badRate);
    if (logRatio >= this.haltThreshold) return GateVerdict.HALT;
    if (logRatio <= this.passThreshold) return GateVerdict.PASS;
    return GateVerdict.WAIT;
  }

  /** Computes the log likelihood ratio of "bad" to "acceptable". */
  computeLogRatio(evidence: RatingCounts, badRate: number): number {
    const p0 = Math.min(Math.max(badRate, MIN_RATE), MAX_RATE - this.margin);
    const p1 = p0 + this.margin;
    return (
      evidence.bad * Math.log(p1 / p0) +
      evidence.good * Math.log((1 - p1) / (1 - p0))
    );
  }
}
