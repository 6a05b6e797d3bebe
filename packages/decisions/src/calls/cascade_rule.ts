import type {CallRoute} from './call_route.js';

interface Options {
  /** Confidence below which an answer of a smaller model is not used, 0 to 100. */
  readonly threshold: number;
}

/** Weight of one answer in the learned share of small answers that are used. */
const LEARNING_RATE = 0.03;
/** Share of used small answers under which starting small does not pay: its reading is wasted. */
const MIN_PASS_SHARE = 0.2;
/** One in so many calls starts small all the same, so that the share stays known. */
const EXPLORED_ONE_IN = 20;

/**
 * Which model a call starts with, and whether its answer is used. The middle models are left out:
 * they cost half of the largest one and are as often not good enough as the smallest.
 */
export class CascadeRule {
  private readonly passShares = new Map<string, number>();
  private started = 0;

  constructor(private readonly options: Options) {}

  firstModel(route: CallRoute): string {
    const [smallest] = route.models;
    const share = this.passShares.get(route.name) ?? 1;
    this.started += 1;
    if (share >= MIN_PASS_SHARE || this.started % EXPLORED_ONE_IN === 0)
      return smallest;
    return this.strongestModel(route);
  }

  strongestModel(route: CallRoute): string {
    return route.models[route.models.length - 1];
  }

  /** Whether an answer with this confidence is good enough; absent counts as good. */
  isGoodEnough(
    route: CallRoute,
    model: string,
    confidence: number | undefined,
  ): boolean {
    if (model === this.strongestModel(route)) return true;
    const isGood =
      confidence === undefined || confidence >= this.options.threshold;
    const before = this.passShares.get(route.name) ?? 1;
    this.passShares.set(
      route.name,
      before + LEARNING_RATE * ((isGood ? 1 : 0) - before),
    );
    return isGood;
  }
}
