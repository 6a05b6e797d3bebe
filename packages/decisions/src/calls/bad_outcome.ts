/** Ways in which a response can be bad, each of which has other causes besides the version. */
const BadOutcome = {
  /** The runner answered in full, with a failure. */
  ERROR: 'errors',
  /** No whole response arrived: the connection ended, or the runner was silent. */
  LOST: 'lost responses',
  /** The response took much longer than those of the other version. */
  SLOW: 'slow responses',
} as const;
type BadOutcome = (typeof BadOutcome)[keyof typeof BadOutcome];

export {BadOutcome};
