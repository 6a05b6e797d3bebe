/** A runner's registration in the store. */
export interface RunnerEntry {
  /** Id of the runner; a restarted runner may keep it. */
  readonly id: string;
  /** Start time by the wall clock, in ms; undefined if the platform does not report it. */
  readonly bornAt?: number;
  readonly service: string;
  /** IP:PORT. */
  readonly address: string;
  readonly place: string;
  /** Version of its software or model weights. */
  readonly version: string;
  /** Requests that it processes at the same time. */
  readonly slots: number;
  /** Remaining time of its cold start when it wrote this, in ms; absent or 0 if it is not cold. */
  readonly coldLeftMs?: number;
  /** Whether it is shutting down and accepts no new requests. */
  readonly isDraining: boolean;
}
