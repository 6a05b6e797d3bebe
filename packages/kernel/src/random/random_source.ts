/** A source of random numbers; every random choice of the system draws from one. */
export interface RandomSource {
  /** A number in [0, 1). */
  next(): number;
  /** An integer in [0, bound). */
  below(bound: number): number;
}
