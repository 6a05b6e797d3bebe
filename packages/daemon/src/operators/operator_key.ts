/** An operator's access key; only its hash is stored. */
export interface OperatorKey {
  readonly name: string;
  /** SHA-256 of the key, in hex. */
  readonly hash: string;
}
