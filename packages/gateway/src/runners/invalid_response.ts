/** Thrown when a runner sent bytes that are no valid response: it runs, but can't be understood. */
export class InvalidResponse extends Error {
  constructor(readonly reason: string) {
    super(`invalid response of the runner: ${reason}`);
    this.name = 'InvalidResponse';
  }
}
