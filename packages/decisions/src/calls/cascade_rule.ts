import type {CallRoute} from './call_route.js';

interface Options {
  /** Confidence below which an answer of a smaller model is not used, 0 to 100, in calm times. */
  readonly threshold: number;
}

interface SmallAnswer {
  readonly route: CallRoute;
  readonly model: string;
  /** The model's opinion of its answer, 0 to 100; absent counts as good. */
  readonly confidence?: number;
  /** Work that waits at the best engine for the largest model over the service's latency target. */
  readonly pressure: number;
}

/** Pressure up to which the threshold holds in full; from there it falls to 0 at {@link NO_PRESSURE}. */
const FULL_PRESSURE = 0.12;
/** Pressure from which no answer is dropped: a larger model would only make all answers late. */
const NO_PRESSURE = 0.5;

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

  /** The model that a call of the route starts with. */
  firstModel(route: CallRoute): string {
    const [smallest] = route.models;
    const share = this.passShares.get(route.name) ?? 1;
    this.started += 1;
    if (share >= MIN_PASS_SHARE || this.started % EXPLORED_ONE_IN === 0)
      return smallest;
    return this.strongestModel(route);
  }

  /** The largest model of the route. */
  strongestModel(route: CallRoute): string {
    return route.models[route.models.length - 1];
  }

  /**
   * Whether an answer is used. Under pressure more of them are: the largest model takes ten times the
   * smallest one's reading time, and engines that fall behind make every answer late.
   */
  isGoodEnough({route, model, confidence, pressure}: SmallAnswer): boolean {
    if (model === this.strongestModel(route)) return true;
    if (confidence === undefined) return true;
    const isGood = confidence >= this.options.threshold;
    const before = this.passShares.get(route.name) ?? 1;
    this.passShares.set(
      route.name,
      before + LEARNING_RATE * ((isGood ? 1 : 0) - before),
    );
    return isGood || confidence >= this.thresholdAt(pressure);
  }

  private thresholdAt(pressure: number): number {
    const part = (NO_PRESSURE - pressure) / (NO_PRESSURE - FULL_PRESSURE);
    return this.options.threshold * Math.min(1, Math.max(0, part));
  }
}
