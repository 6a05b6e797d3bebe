/** Time to read a prompt token on an idle engine before anything is measured, in ms. */
const FIRST_GUESS_MS = 0.02;
/** Bounds of a learned time, in ms a token. */
const MIN_MS = 0.001;
const MAX_MS = 1;
/** Weight of one measurement. */
const LEARNING_RATE = 0.05;
/** The same for a shorter time than believed: waiting only ever makes times longer. */
const FASTER_RATE = 0.3;
/** Prompts shorter than this say more about the engine's steps than about reading, in tokens. */
const MIN_TOKENS = 300;

/** How long each model takes to read a prompt token, learned from first events. */
export class ReadingRates {
  private readonly byModel = new Map<string, number>();

  /** ms a token. */
  of(model: string): number {
    return this.byModel.get(model) ?? FIRST_GUESS_MS;
  }

  /**
   * Notes that `tokens` were read in `forMs`. Where the engine had other work too, only a shorter time
   * than believed says something: waiting makes times longer, never shorter.
   */
  learn(
    model: string,
    tokens: number,
    forMs: number,
    wasUnloaded: boolean,
  ): void {
    if (tokens < MIN_TOKENS) return;
    if (!wasUnloaded && forMs / tokens >= this.of(model)) return;
    const measured = Math.min(MAX_MS, Math.max(MIN_MS, forMs / tokens));
    const before = this.byModel.get(model);
    const next =
      before === undefined
        ? measured
        : before + rateOf(measured, before) * (measured - before);
    this.byModel.set(model, next);
  }
}

function rateOf(measured: number, before: number): number {
  return measured < before ? FASTER_RATE : LEARNING_RATE;
}
