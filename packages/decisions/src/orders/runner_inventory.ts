/** The versions that a runner has loaded, according to its own report. */
export interface RunnerInventory {
  readonly id: string;
  readonly versions: readonly string[];
  readonly versionSlots: number;
  readonly drained: boolean;
}
