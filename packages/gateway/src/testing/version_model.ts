import type {RandomSource} from '@bayspool/kernel';

/** A call, as far as a version's response depends on it. */
interface ModelCall {
  readonly route: string;
  /** Calls running at its runner, including this one. */
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
  /** Number of events of the response. */
  readonly events: number;
}

/** How a service version responds in a simulation. */
export interface VersionModel {
  answer(call: ModelCall): ModelAnswer;
}
