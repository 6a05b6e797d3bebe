/** What a host states to another one about who takes new callers; absent ones state nothing. */
export interface ServingStatement {
  /** Whether it takes new callers itself. */
  readonly isServing?: boolean;
  /** Whether it has lately heard from a further host that this one does; told to hosts of its own place. */
  readonly hasServingPeers?: boolean;
  /** Higher than in each earlier statement of the same host, also across its restarts; none from earlier versions. */
  readonly order?: number;
  /** How long the host had held the request when it stated this, in ms; absent if it answered at once. */
  readonly heldMs?: number;
}
