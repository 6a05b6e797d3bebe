/**
 * Pools of connections between hosts, by what a call waits for at the other host. A
 * call waits only for calls of pools that are listed above its own, so that no two
 * calls wait for each other's connections.
 */
const PeerPool = {
  /** Answered from the other host's own state. */
  DIRECT: 'direct',
  /** Runs a caller's request; its bill is replicated to a second host, which may be the calling one. */
  RUN: 'run',
  /** Claims a caller's key first, and may forward the request to the host that won the claim. */
  CLAIM: 'claim',
} as const;
type PeerPool = (typeof PeerPool)[keyof typeof PeerPool];

export {PeerPool};
