import {determineOutcome} from '@bayspool/decisions';
import type {ToldAnswer} from './told_answer.js';

/** Status of an answer that ended with an error. */
const INTERNAL_ERROR = 500;

/** What an error of a host's desk tells its caller. */
export function failedAnswer(error: unknown): ToldAnswer {
  const text = error instanceof Error ? error.message : String(error);
  return {
    status: INTERNAL_ERROR,
    outcome: determineOutcome(error),
    version: undefined,
    session: undefined,
    text,
    whole: false,
  };
}
