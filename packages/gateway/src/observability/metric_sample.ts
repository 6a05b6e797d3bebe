/** Current value of one series of a metric. */
export interface MetricSample {
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}
