/** Desired state of one version on an engine. Orders are idempotent. */
export interface RunnerOrder {
  readonly version: string;
  readonly desired: 'loaded' | 'unloaded';
  /** Log offset of the lease under which the order is sent. */
  readonly fencingToken: number;
}
