/** Peer methods of answers that belong to a key. */
export const keyedCallMethods = {
  /** Runs a keyed call at its home, or gives the answer that it remembers. */
  run: 'answers.run',
  /** Claims a caller's own key and runs the call, in the key's place. */
  claim: 'answers.claim',
  /** Asks whether a host knows that a key was never claimed nor used. */
  unused: 'answers.unused',
  /** Takes over the keys of a host that leaves. */
  adopt: 'answers.adopt',
  /** Asks whether a host took over the keys of a process. */
  adopted: 'answers.adopted',
} as const;
