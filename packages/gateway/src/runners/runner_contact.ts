import type {Clock} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
}

/** When this host last received anything from any runner. */
export class RunnerContact {
  private heardAt: number | undefined;

  constructor(private readonly options: Options) {}

  /** Time since the last bytes from any runner, in ms; undefined if there were none since the start. */
  get silentMs(): number | undefined {
    if (this.heardAt === undefined) return undefined;
    return this.options.clock.now() - this.heardAt;
  }

  /** Records that bytes arrived from a runner. */
  recordHeard(): void {
    this.heardAt = this.options.clock.now();
  }
}
