import {RunnerEndEvidence} from '../runners/runner_end_evidence.js';

/** Whether the end is known from a later runner, under the id or at the address of the one that ended. */
export function isEndBySuccessor(evidence: RunnerEndEvidence): boolean {
  return (
    evidence === RunnerEndEvidence.RESTARTED ||
    evidence === RunnerEndEvidence.REPLACED
  );
}
