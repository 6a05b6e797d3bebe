interface Options {
  /** What a model costs over the cheapest one of its engine; undefined if unknown. */
  readonly costFactorOf?: (model: string) => number | undefined;
}

/** Time in which the cheapest model reads a prompt token, in ms, before anything is measured. */
const INITIAL_MS_PER_TOKEN = 0.012;
/** Bounds of a learned time, in ms a token. */
const MIN_MS_PER_TOKEN = 0.001;
const MAX_MS_PER_TOKEN = 1;
/** Fixed part of the time to a first event, in ms, which says nothing about reading. */
const FIXED_OVERHEAD_MS = 20;
/** Prompts shorter than this say more about the engine's steps than about reading, in tokens. */
const MIN_TOKENS = 1_000;
/**
 * The share of measurements that lie under the learned time. Most of what disturbs a measurement
 * makes it longer: other work, or a part that was thought to be kept. Some make it shorter, where
 * another host had the part read; the share keeps these from deciding.
 */
const QUANTILE = 0.3;
/** How far one measurement moves the learned time, as a part of its logarithm. */
const STEP_SIZE = 0.15;

/** How long each model takes to read a prompt token on an idle engine, learned from first events. */
export class PrefillRates {
  private readonly byModel = new Map<string, number>();

  constructor(private readonly options: Options = {}) {}

  /** ms a token. */
  getMsPerToken(model: string): number {
    return this.byModel.get(model) ?? this.estimate(model);
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
    const measured = clamp((forMs - FIXED_OVERHEAD_MS) / tokens);
    const before = this.byModel.get(model);
    if (before === undefined) {
      if (wasUnloaded || measured < this.estimate(model))
        this.byModel.set(model, measured);
      return;
    }
    if (measured < before)
      this.adjust(model, before, -STEP_SIZE * (1 - QUANTILE));
    else if (wasUnloaded) this.adjust(model, before, STEP_SIZE * QUANTILE);
  }

  private adjust(model: string, before: number, by: number): void {
    this.byModel.set(model, clamp(before * Math.exp(by)));
  }

  /** From a model that is known, by what the two cost: a model that costs more reads more slowly. */
  private estimate(model: string): number {
    const {costFactorOf} = this.options;
    const factor = costFactorOf?.(model);
    if (!costFactorOf || !factor) return INITIAL_MS_PER_TOKEN;
    for (const [known, rate] of this.byModel) {
      const knownFactor = costFactorOf(known);
      if (knownFactor) return clamp((rate * factor) / knownFactor);
    }
    return clamp(INITIAL_MS_PER_TOKEN * factor);
  }
}

function clamp(rate: number): number {
  return Math.min(MAX_MS_PER_TOKEN, Math.max(MIN_MS_PER_TOKEN, rate));
}
