interface Options {
  readonly message: string;
  /** Whether the runner may have started the request. */
  readonly mayHaveRun: boolean;
  /** Whether the runner rejected the request for lack of capacity. */
  readonly busy?: boolean;
  readonly cause?: unknown;
}

/** The failure of an attempt at a runner. */
export class RunnerFailure extends Error {
  readonly mayHaveRun: boolean;
  readonly busy: boolean;

  constructor(options: Options) {
    super(options.message, {cause: options.cause});
    this.name = 'RunnerFailure';
    this.mayHaveRun = options.mayHaveRun;
    this.busy = options.busy ?? false;
  }
}
