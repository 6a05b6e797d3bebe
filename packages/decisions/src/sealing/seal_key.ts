/** A shared secret, with the id by which sealed texts refer to it. */
export interface SealKey {
  readonly id: string;
  readonly secret: string;
}
