import {SlownessNormalizer} from '@bayspool/decisions/capacity';

interface Options {
  /** Cost of a model relative to the cheapest model of its engine; undefined if unknown. */
  readonly costFactorOf?: (model: string) => number | undefined;
}

/** Assumed prefill time of the cheapest model until a first measurement, in ms per token. */
const INITIAL_MS_PER_TOKEN = 0.012;
/** Bounds of a learned time, in ms per token. */
const MIN_MS_PER_TOKEN = 0.001;
const MAX_MS_PER_TOKEN = 1;
/** Part of the time to the first event that does not depend on the prompt, in ms. */
const FIXED_OVERHEAD_MS = 20;
/** Shorter prompts are ignored, in tokens: their time depends more on the engine's steps than on prefill. */
const MIN_TOKENS = 1_000;
/**
 * Fraction of the measurements that lie below the learned time. Most disturbances make a measurement longer:
 * other work, or a part that was wrongly assumed to be cached. Some make it shorter: a part that is cached
 * because of another host's request. A quantile above 0 keeps these few from determining the result.
 */
const QUANTILE = 0.3;
/** Step by which one measurement changes the logarithm of the learned time. */
const STEP_SIZE = 0.15;

/** Prefill time per prompt token of each model on an idle engine, learned from the times to the first event. */
export class PrefillRates {
  private readonly byModel = new Map<string, number>();
  private readonly normalizers = new Map<string, SlownessNormalizer>();

  constructor(private readonly options: Options = {}) {}

  /** Returns the learned or estimated time, in ms per token. */
  getMsPerToken(model: string): number {
    return this.byModel.get(model) ?? this.estimate(model);
  }

  /**
   * Records that the engine processed `tokens` in `forMs`. If the engine had other work, only a time shorter than the
   * learned one counts: waiting makes times longer, never shorter.
   *
   * @param slowness of the engine before this measurement
   */
  recordSample(
    model: string,
    tokens: number,
    forMs: number,
    wasUnloaded: boolean,
    slowness = 1,
  ): void {
    if (tokens < MIN_TOKENS) return;
    const prefillMs = this.normalizerOf(model).normalize(
      forMs - FIXED_OVERHEAD_MS,
      slowness,
    );
    const measured = clamp(prefillMs / tokens);
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

  private normalizerOf(model: string): SlownessNormalizer {
    const normalizer = this.normalizers.get(model) ?? new SlownessNormalizer();
    this.normalizers.set(model, normalizer);
    return normalizer;
  }

  private adjust(model: string, before: number, by: number): void {
    this.byModel.set(model, clamp(before * Math.exp(by)));
  }

  /** Estimates the time from a measured model and the costs of both: a model that costs more is slower. */
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
