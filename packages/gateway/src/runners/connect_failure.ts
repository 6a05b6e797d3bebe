/** Thrown when no connection to a runner is available; nothing was sent. */
export class ConnectFailure extends Error {
  constructor(
    /** `timeout`, `saturated`, `closed`, or the error code of the system, such as `ECONNREFUSED`. */
    readonly reason: string,
  ) {
    super(`no connection to the runner: ${reason}`);
    this.name = 'ConnectFailure';
  }
}
