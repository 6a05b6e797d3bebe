/** An order that has not been sent yet. */
export interface PlannedOrder {
  readonly runner: string;
  readonly version: string;
  readonly desired: 'loaded' | 'unloaded';
}
