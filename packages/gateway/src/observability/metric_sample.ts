/** One series of a metric as it stands now. */
export interface MetricSample {
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}
