import type {RunnerChoice} from './runner_choice.js';

/** Costs of the runners that are considered for a call, by their index. */
export interface RunnerCosts {
  /** Expected time to the response, or its first event, and what else the choice costs, in ms. */
  computeCostMs(index: number): number;
  /** Returns the figures behind the cost. */
  describe(
    index: number,
  ): Pick<
    RunnerChoice,
    'workMs' | 'waitMs' | 'unreadTokens' | 'held' | 'expectation' | 'slowness'
  >;
}
