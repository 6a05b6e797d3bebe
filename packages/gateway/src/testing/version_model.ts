import type {RandomSource} from '@bayspool/kernel';

/** What the answer of a version depends on. */
interface ModelCall {
  readonly route: string;
  /** Calls that run at its runner, this one included. */
  readonly running: number;
  /** Time since the order, in ms. */
  readonly elapsedMs: number;
  readonly random: RandomSource;
}

interface ModelAnswer {
  readonly hasFailed: boolean;
  /** Time to the first byte, in ms. */
  readonly firstMs: number;
  /** Time to the end, in ms. */
  readonly forMs: number;
  /** Events of the answer. */
  readonly events: number;
}

/** How a version answers, in a simulation. */
export interface VersionModel {
  answer(call: ModelCall): ModelAnswer;
}
