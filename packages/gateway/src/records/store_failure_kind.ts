/** Ways in which a call to the store fails. */
const StoreFailureKind = {
  /** No answer in time, or the connection broke; a write may have been done or be done later. */
  UNREACHABLE: 'unreachable',
  /** The store said that it did nothing: overloaded, limited or down. */
  REFUSED: 'refused',
  /** The records asked for are no longer kept. */
  TRIMMED: 'trimmed',
  /** The condition of a write does not hold. */
  CONFLICT: 'conflict',
  /** The answer could not be understood. */
  UNREADABLE: 'unreadable',
} as const;
type StoreFailureKind =
  (typeof StoreFailureKind)[keyof typeof StoreFailureKind];

export {StoreFailureKind};
