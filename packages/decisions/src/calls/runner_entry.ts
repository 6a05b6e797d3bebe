/** What a runner tells of itself in the store. */
export interface RunnerEntry {
  /** Names one start of the runner. */
  readonly id: string;
  readonly service: string;
  /** IP:PORT. */
  readonly address: string;
  readonly place: string;
  /** The version of its software or weights. */
  readonly version: string;
  /** Requests that run at once. */
  readonly slots: number;
  /** Whether it announced its end and takes no new requests. */
  readonly isDraining: boolean;
}
