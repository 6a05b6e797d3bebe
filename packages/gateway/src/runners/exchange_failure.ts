/** Thrown when a request was sent to a runner and no response headers came back. */
export class ExchangeFailure extends Error {
  constructor(readonly reason: string) {
    super(`no answer from the runner: ${reason}`);
    this.name = 'ExchangeFailure';
  }
}
