import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from 'prom-client';

const SECONDS_BUCKETS = [
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30,
];

/** The metrics of one process. Names carry the prefix `bayspool_` and their unit. */
export class Metrics {
  readonly registry = new Registry();

  constructor() {
    collectDefaultMetrics({register: this.registry});
  }

  counter<T extends string = never>(
    name: string,
    help: string,
    labelNames: readonly T[] = [],
  ): Counter<T> {
    return new Counter<T>({
      name: `bayspool_${name}`,
      help,
      labelNames,
      registers: [this.registry],
    });
  }

  /** A gauge whose value is read when the metrics are. */
  observe(name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({
      name: `bayspool_${name}`,
      help,
      registers: [this.registry],
      collect: () => gauge.set(read()),
    });
  }

  /** The same with one label: the values are read by the label's value. */
  observeEach(
    name: string,
    help: string,
    label: string,
    read: () => Record<string, number>,
  ): void {
    const gauge: Gauge = new Gauge({
      name: `bayspool_${name}`,
      help,
      labelNames: [label],
      registers: [this.registry],
      collect: () => {
        gauge.reset();
        for (const [value, number] of Object.entries(read()))
          gauge.set({[label]: value}, number);
      },
    });
  }

  /** A histogram of seconds. */
  seconds<T extends string = never>(
    name: string,
    help: string,
    labelNames: readonly T[] = [],
  ): Histogram<T> {
    return new Histogram<T>({
      name: `bayspool_${name}`,
      help,
      labelNames,
      buckets: SECONDS_BUCKETS,
      registers: [this.registry],
    });
  }
}
