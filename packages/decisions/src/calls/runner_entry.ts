/** What a runner tells of itself in the store. */
export interface RunnerEntry {
  /** Names the runner; it may start again under the same one. */
  readonly id: string;
  /** Time of day of its start, in ms; undefined where the platform does not tell. */
  readonly bornAt?: number;
  readonly service: string;
  /** IP:PORT. */
  readonly address: string;
  readonly place: string;
  /** The version of its software or weights. */
  readonly version: string;
  /** Requests that run at once. */
  readonly slots: number;
  /** How much longer it was slow from its start when it wrote this, in ms; absent or 0 if it is not. */
  readonly coldLeftMs?: number;
  /** Whether it announced its end and takes no new requests. */
  readonly isDraining: boolean;
}
