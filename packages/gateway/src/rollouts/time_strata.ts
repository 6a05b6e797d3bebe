import type {TimeCounts} from '@bayspool/decisions/calls';

/**
 * Times of responses by stratum, a part of the rollout's duration and a kind of response. Times of different strata
 * are not compared: load changes over time, and kinds of responses differ.
 */
export type TimeStrata = Readonly<Record<string, TimeCounts>>;
