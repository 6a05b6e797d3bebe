import {BadOutcome} from './bad_outcome.js';
import type {OutcomeComparison} from './outcome_comparison.js';
import type {VersionOutcomes} from './version_outcomes.js';

interface Options {
  readonly fresh: VersionOutcomes;
  readonly old: VersionOutcomes;
}

/**
 * Compares two versions by each kind of bad response. In one sum, the responses that a disruption
 * takes from both versions would hide the errors of one of them. A response that did not arrive
 * whole tells nothing about errors, so errors are compared among the others.
 */
export function compareOutcomes({fresh, old}: Options): OutcomeComparison[] {
  const {lost = 0} = fresh;
  const {lost: oldLost = 0} = old;
  return [
    {
      kind: BadOutcome.ERROR,
      bad: fresh.failed - lost,
      ended: fresh.ended - lost,
      oldBad: old.failed - oldLost,
      oldEnded: old.ended - oldLost,
    },
    {
      kind: BadOutcome.LOST,
      bad: lost,
      ended: fresh.ended,
      oldBad: oldLost,
      oldEnded: old.ended,
    },
    {
      kind: BadOutcome.SLOW,
      bad: fresh.slow,
      ended: fresh.ended,
      oldBad: old.slow,
      oldEnded: old.ended,
    },
  ];
}
