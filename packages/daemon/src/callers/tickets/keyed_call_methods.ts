/** Peer methods for calls that carry an idempotency key. */
export const keyedCallMethods = {
  /** Runs a keyed call on its home process, or returns the cached response. */
  run: 'answers.run',
  /** Claims a caller's own key in the place of the key, and runs the call. */
  claim: 'answers.claim',
  /** Asks a host whether it has seen neither a claim nor a use of a key. */
  unused: 'answers.unused',
  /** Takes over the keys of a process that shuts down. */
  adopt: 'answers.adopt',
  /** Asks a host whether it has taken over the keys of a process. */
  adopted: 'answers.adopted',
} as const;
