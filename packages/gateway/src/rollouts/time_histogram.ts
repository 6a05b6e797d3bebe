import type {TimeStrata} from './time_strata.js';

/** Factor between two adjacent time classes: fine enough that times 1.5 times as long fall into another class. */
const CLASS_FACTOR = 1.25;
/** Bounds of the index of a class: 0.17 to 1,300 times the unit, so that the number of classes is bounded. */
const MIN_INDEX = -8;
const MAX_INDEX = 32;

/** Counts responses by stratum and time class; small enough to be sent to other hosts, and the counts of hosts can be added. */
export class TimeHistogram {
  private readonly counts = new Map<string, Map<number, number>>();

  /** The counts so far. */
  get strata(): TimeStrata {
    const entries = [...this.counts].map(
      ([name, classes]) => [name, Object.fromEntries(classes)] as const,
    );
    return Object.fromEntries(entries);
  }

  /** Counts a response by its relative time, a positive number. */
  add(stratum: string, relativeTime: number): void {
    const index = Math.round(Math.log(relativeTime) / Math.log(CLASS_FACTOR));
    const bounded = Math.min(MAX_INDEX, Math.max(MIN_INDEX, index));
    const classes = this.counts.get(stratum) ?? new Map<number, number>();
    classes.set(bounded, (classes.get(bounded) ?? 0) + 1);
    this.counts.set(stratum, classes);
  }
}
