import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomSource} from './random_source.js';

/** A repeatable source: the same seed gives the same numbers. */
export class SeededRandom implements RandomSource {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  next(): number {
    return uniformFloat64(this.generator);
  }

  below(bound: number): number {
    return Math.floor(this.next() * bound);
  }
}
