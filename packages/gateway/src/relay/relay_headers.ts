/** Names of the headers that hosts add to the calls that they relay to each other, in lower case. */
export const relayHeaders = {
  /** Name of the relaying host. */
  FROM: 'bayspool-relay-from',
  /** How often the call may be sent to runners. */
  ATTEMPTS: 'bayspool-relay-attempts',
  /** Whether the relaying host has counted the call in its retry budget: 1 or 0. */
  COUNTED: 'bayspool-relay-counted',
} as const;
