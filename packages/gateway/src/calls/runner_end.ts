import type {RunnerEndEvidence} from '../runners/runner_end_evidence.js';

/** The end of a runner, as this host learned of it. */
export interface RunnerEnd {
  readonly evidence: RunnerEndEvidence;
  /** Time from the last sign of the runner until its end was known, in ms. */
  readonly knownAfterMs: number;
  /** Whether a connect was accepted at the runner's address since its last sign, so that it may have run for longer. */
  readonly wasListening: boolean;
}
