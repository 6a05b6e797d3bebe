/** Ways in which a call to the store fails. */
const StoreFailureKind = {
  /** Timeout or broken connection; a write may have been applied or may be applied later. */
  UNREACHABLE: 'unreachable',
  /** The store rejected the call without executing it: overloaded, rate-limited or down. */
  REFUSED: 'refused',
  /** The requested records are no longer retained. */
  TRIMMED: 'trimmed',
  /** The precondition of a write does not hold. */
  CONFLICT: 'conflict',
  /** The response could not be decoded. */
  UNREADABLE: 'unreadable',
} as const;
type StoreFailureKind =
  (typeof StoreFailureKind)[keyof typeof StoreFailureKind];

export {StoreFailureKind};
