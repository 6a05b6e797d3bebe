/** No connection to a runner could be had; nothing was sent. */
export class ConnectFailure extends Error {
  constructor(
    /** `refused`, `timeout`, `saturated` or the system's code. */
    readonly reason: string,
  ) {
    super(`no connection to the runner: ${reason}`);
    this.name = 'ConnectFailure';
  }
}
