import type {RunnerEndEvidence} from '../runners/runner_end_evidence.js';

/** State of a run at the end of its runner, or at the last sign of it if that was not seen. */
export interface CrashEvidence {
  readonly knownBy: RunnerEndEvidence;
  /** Time from the last sign of the runner until its end was known, in ms. */
  readonly knownAfterMs: number;
  /** Whether the runner may have lived on after the last sign of it. */
  readonly wasListening: boolean;
  readonly hasHead: boolean;
  readonly hasBodyBytes: boolean;
  readonly sinceHeadMs: number;
  /** Whether the runner had no other request, as far as this host knows. */
  readonly isAlone: boolean;
}
