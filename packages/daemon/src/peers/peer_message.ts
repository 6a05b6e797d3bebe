/** A JSON-RPC body between hosts and its signature, as `keyId.mac`. */
export interface PeerMessage {
  readonly body: string;
  readonly signature: string;
}
