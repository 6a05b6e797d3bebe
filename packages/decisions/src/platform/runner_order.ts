/** Desired state for one version on an engine; giving the same order twice changes nothing more. */
export interface RunnerOrder {
  readonly version: string;
  readonly desired: 'loaded' | 'unloaded';
  /** The offset of the lease under which it is given. */
  readonly fencingToken: number;
}
