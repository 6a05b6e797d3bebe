/** A peer sent more than the reader takes; the message names the maximum. */
export class SizeExceeded extends Error {
  /** @param maximum such as `4096 bytes` */
  constructor(maximum: string) {
    super(`more than ${maximum} in one message; check what the peer runs`);
    this.name = 'SizeExceeded';
  }
}
