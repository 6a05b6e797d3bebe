import type {WeightStore} from '@bayspool/decisions';

interface Options {
  readonly loadsPerMinute: number;
}

/** The weight store: it only says how many loads a minute it serves. */
export class MemoryWeightStore implements WeightStore {
  constructor(private readonly options: Options) {}

  async loadsPerMinute(): Promise<number> {
    return this.options.loadsPerMinute;
  }
}
