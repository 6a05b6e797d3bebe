/** HTTP headers of messages between peers. */
export const peerHeaders = {
  /** HMAC of the body, as `keyId.mac`. */
  signature: 'bayspool-signature',
} as const;
